/**
 * Bytes of requests that keep to the limits of a front door or exceed them. Development only.
 */
import {Buffer} from 'node:buffer';
import type {Conduct, Part} from './crowd-client.js';

/** Largest body that a door accepts, in bytes. */
export const maxBody = 4_194_304;
const kibibyte = 1024;
const mebibyte = kibibyte * kibibyte;
/** Bytes of one write of a large body. */
const writeBytes = 64 * kibibyte;
/** Chunks of one byte in one write. */
const chunksInWrite = 8192;

/** @returns A head up to its blank line, with `lines` added; each call names another request. */
export type HeadWriter = (lines: readonly string[]) => string;

const oneByteChunk = '1\r\nx\r\n';
const part = (text: string, times = 1, gap = 0): Part => ({bytes: Buffer.from(text, 'latin1'), times, gap});
const chunked = (head: HeadWriter): Part => part(head(['Transfer-Encoding: chunked']));
const withLength = (head: HeadWriter, length: number): Part => part(head([`Content-Length: ${length}`]));
const bytes = (count: number): readonly Part[] => [part('x'.repeat(writeBytes), Math.floor(count / writeBytes)), part('x'.repeat(count % writeBytes))];
const oneByteChunks = (count: number): readonly Part[] => [
	part(oneByteChunk.repeat(chunksInWrite), Math.floor(count / chunksInWrite)), part(oneByteChunk.repeat(count % chunksInWrite)),
];
const chunkOf = (size: number): string => `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
const lastChunk = part('0\r\n\r\n');
const reading = (parts: readonly Part[]): Conduct => ({parts, isReading: true});

/** @returns A whole body of the largest size in chunks of one byte. */
export const wholeInOneByteChunks = (head: HeadWriter): Conduct => reading([chunked(head), ...oneByteChunks(maxBody), lastChunk]);

/** @returns A whole body of the largest size, with a pause in its middle. */
export const wholeWithPause = (head: HeadWriter): Conduct => reading([withLength(head, maxBody), ...bytes(maxBody / 2), part('x', 1, 1500), ...bytes((maxBody / 2) - 1)]);

/** @returns A whole body of the largest size. */
export const whole = (head: HeadWriter): Conduct => reading([withLength(head, maxBody), ...bytes(maxBody)]);

/** @returns A mebibyte in chunks of one byte, without an end. */
export const unendedOneByteChunks = (head: HeadWriter): Conduct => reading([chunked(head), ...oneByteChunks(mebibyte)]);

/** @returns Chunks of one byte, a few at a time, without an end. */
export const fewOneByteChunks = (head: HeadWriter): Conduct => reading([chunked(head), part(oneByteChunk.repeat(100), 65, 30)]);

/** @returns Nearly a body of the largest size in large chunks, without an end. */
export const unendedLargeChunks = (head: HeadWriter): Conduct => reading([chunked(head), part(chunkOf(writeBytes), (maxBody / writeBytes) - 1), part(chunkOf(writeBytes - 16))]);

/** @returns A body whose end is missing. */
export const shortOfLength = (head: HeadWriter): Conduct => reading([withLength(head, maxBody), ...bytes(maxBody - (64 * kibibyte))]);

/** @returns A body whose announced length is far over the limit. */
export const excessiveLength = (head: HeadWriter): Conduct => reading([withLength(head, 1_000_000_000), ...bytes(16 * mebibyte)]);

/** @returns A body in chunks that goes on far over the limit. */
export const excessiveChunks = (head: HeadWriter): Conduct => reading([chunked(head), part(chunkOf(writeBytes), 64 * mebibyte / writeBytes)]);

/** @returns Many small requests at once, whose answers are not read. */
export const pipelined = (head: HeadWriter, count: number): Conduct => ({
	parts: [part(Array.from({length: count}, () => head([])).join(''))], isReading: false,
});

/** @returns A head without its end. */
export const unendedHead = (head: HeadWriter): Conduct => reading([part(head(Array.from({length: 59}, (_, index) => `X-Field-${index}: ${'x'.repeat(1000)}`)).slice(0, -4))]);

/** @returns A chunk whose extension has no end. */
export const unendedExtension = (head: HeadWriter): Conduct => reading([chunked(head), part('5;'), part('x'.repeat(writeBytes), 64)]);

/** @returns A body whose trailers have no end. */
export const unendedTrailers = (head: HeadWriter): Conduct => reading([chunked(head), part('0\r\n'), part(`X-Field: ${'x'.repeat(1000)}\r\n`.repeat(64), 64)]);

/** A connection on which nothing is sent. */
export const silent: Conduct = {parts: [], isReading: true};
