/**
 * An entry box as a process with low limits, and its services, for crowds of clients. Development only.
 */
import type {Child} from '../harness/child.js';
import type {Installation, Member} from '../harness/installation.js';
import {startInstallation, testKeys} from '../harness/small-installation.js';
import {nodeOptions} from './crowd-relay.js';
import type {Limits, Target} from './crowd.js';
import type {HeadWriter} from './requests.js';
import {statusOf} from './simple-call.js';

const callPath = '/v1/services/orders/x';

/** An entry box that is exposed to crowds. */
export class CrowdBox implements Target {
	/**
	 * @param limits - Limits in the settings of the box.
	 * @returns The box, which serves.
	 */
	static async start(limits: Limits): Promise<CrowdBox> {
		const installation = await startInstallation({
			entries: 0, engines: 0, services: 2, dataCentres: 1,
		});
		const member = await installation.addEntry('entry-1', {dataCentre: 'dc-1', limits, nodeOptions: nodeOptions(limits)});
		await installation.untilReady();
		return new CrowdBox(limits, installation, member);
	}

	private constructor(readonly limits: Limits, private readonly installation: Installation, private readonly member: Member) {}

	get child(): Child {
		return this.member.child;
	}

	/** TCP ports that the box listens on. */
	get ports(): {readonly callers: number; readonly operators: number; readonly peers: number} {
		const {box, operatorsPort} = this.member;
		return {callers: box.port, operators: operatorsPort, peers: 'peerPort' in box ? box.peerPort! : 0};
	}

	/** Writes heads of requests of callers. */
	readonly head: HeadWriter = lines => [
		`POST ${callPath} HTTP/1.1`, 'Host: box', `Authorization: Bearer ${testKeys.alpha}`, 'Waydrift-Kind: look-up', ...lines, '', '',
	].join('\r\n');

	readonly isServing = async (): Promise<boolean> => await statusOf({
		port: this.ports.callers,
		path: callPath,
		method: 'POST',
		headers: {Authorization: `Bearer ${testKeys.alpha}`, 'Waydrift-Kind': 'look-up'},
		body: 'ordinary',
	}) === 200;

	readonly isAnsweringCheck = async (): Promise<boolean> => await statusOf({port: this.ports.operators, path: '/readyz'}) === 200;

	/** Ends the box, its services and the platform. */
	async close(): Promise<void> {
		await this.installation.close();
	}
}
