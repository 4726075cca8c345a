/**
 * Replicas of models in virtual time. Development only.
 */
import type {ReplicaEntry} from '../../src/replicas/replica.js';

/**
 * @param index - Number of the replica.
 * @param startedAt - Virtual milliseconds of its start, which tell its incarnation.
 * @returns Its entry.
 */
export const modelReplicaEntry = (index: number, startedAt: number): ReplicaEntry => ({
	id: `i-${index}`, bornAt: startedAt, software: '1', revision: startedAt, service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 128,
	isDraining: false, isReclaimable: false, leavesIn: undefined,
});
