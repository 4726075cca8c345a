/**
 * Sends and receives the datagrams by which boxes lend each other parts of their retry budgets.
 */
import {sampleOf} from '../base/sample.js';
import {maxUnanswered, type ExchangeTopology} from '../gossip/exchange-topology.js';
import type {DatagramAddress} from '../gossip/gossip.js';
import type {PeerTable} from '../gossip/peer-table.js';
import {decodeLoan, encodeLoan} from '../quota/loan-codec.js';
import type {LoanRequest, RetryLoans} from '../quota/retry-loans.js';

/** Maximum number of boxes that are asked at a time; all others of a small fleet. */
const maxLenders = 12;

/** Dependencies of the exchange. */
export type LoanExchangeServices = {
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly send: (data: Uint8Array, to: DatagramAddress) => void;
	/** Answers requests of other boxes, and applies their answers. */
	readonly loans: RetryLoans;
};

/** The exchange of one box. */
export class LoanExchange {
	/**
	 * @param services - Its dependencies.
	 * @returns The exchange.
	 */
	static create(services: LoanExchangeServices): LoanExchange {
		return new LoanExchange(services);
	}

	private constructor(private readonly services: LoanExchangeServices) {}

	/**
	 * @param create - Creates the request, given the number of boxes that are asked.
	 * @returns Number of boxes that were asked.
	 */
	ask(create: (boxes: number) => LoanRequest): number {
		const {peers, topology, send} = this.services;
		const candidates = (topology.isLarge ? peers.all : peers.heard).filter(({last, unanswered}) => last?.isStopping !== true && unanswered < maxUnanswered);
		const lenders = sampleOf(candidates, maxLenders);
		const data = encodeLoan({ask: create(lenders.length)});
		for (const {address} of lenders) {
			send(data, address);
		}

		return lenders.length;
	}

	/**
	 * @param data - A datagram that is no gossip message.
	 * @param from - Its sender.
	 */
	receive(data: Uint8Array, from: DatagramAddress): void {
		const {send, loans} = this.services;
		const datagram = decodeLoan(data);
		if (datagram?.ask) {
			send(encodeLoan({grant: loans.grant(datagram.ask)}), from);
		} else if (datagram?.grant) {
			loans.applyGrant(datagram.grant, `${from.host}:${from.port}`);
		}
	}
}
