/**
 * The command line.
 */
import process from 'node:process';
import {serve} from './serve-command.js';

process.exitCode = await serve(process.argv[3]!);
