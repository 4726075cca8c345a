/**
 * The part of gossip datagrams that concerns rollouts, as rows without field names.
 */
import * as Schema from 'effect/Schema';
import type {RolloutDirective, StepPermits} from '../rollout/rollout-directive.js';
import {Amount, RolloutPhase} from '../rollout/rollout-progress.js';
import type {RolloutUpdate} from '../rollout/rollout-view.js';
import type {EvidenceReport} from '../rollout/version-evidence.js';

/** Service, target, duration, phase, step, share, spread, routes, replaced versions. */
const DirectiveRow = Schema.Tuple([
	Schema.String, Schema.String, Amount, Schema.Union([Schema.Literal('ordered'), RolloutPhase]), Amount, Amount, Amount, Schema.Array(Schema.String), Schema.Array(Schema.String),
]);
/** Service, step, count. */
const PermitRow = Schema.Tuple([Schema.String, Amount, Amount]);
/** Route, good, bad, good and bad answers of other versions. */
const RouteRow = Schema.Tuple([Schema.String, Amount, Amount, Amount, Amount]);
/** Service, target, duration, step, used permits, whether these are closed, pending, remaining, arrivals, whether answers can be compared, routes. */
const EvidenceRow = Schema.Tuple([
	Schema.String, Schema.String, Amount, Amount, Amount, Schema.Boolean, Amount, Amount, Amount, Schema.Boolean, Schema.Array(RouteRow),
]);

/** Fields of a message that concern rollouts. */
export const rolloutFields = {
	rollouts: Schema.optionalKey(Schema.Struct({at: Schema.Finite, age: Amount, directives: Schema.optionalKey(Schema.Array(DirectiveRow))})),
	evidence: Schema.optionalKey(Schema.Array(EvidenceRow)),
};

/** Field of a digest that concerns rollouts. */
export const permitFields = {permits: Schema.optionalKey(Schema.Array(PermitRow))};

const RolloutLayout = Schema.Struct(rolloutFields);
type RolloutLayout = typeof RolloutLayout.Type;

/** The same fields, decoded. */
type RolloutContent = {readonly rollouts?: RolloutUpdate; readonly evidence?: readonly EvidenceReport[]};

/**
 * @param content - The rollouts and the evidence of a message.
 * @returns Their fields in a datagram.
 */
export function rolloutLayoutOf({rollouts, evidence}: RolloutContent): RolloutLayout {
	return {
		...(rollouts ? {rollouts: {...rollouts, ...(rollouts.directives ? {directives: rollouts.directives.map(directive => directiveRowOf(directive))} : {})}} : {}) as Pick<RolloutLayout, 'rollouts'>,
		...(evidence ? {evidence: evidence.map(report => evidenceRowOf(report))} : {}),
	};
}

/**
 * @param layout - Fields of a datagram.
 * @returns The rollouts and the evidence.
 */
export function rolloutContentOf({rollouts, evidence}: RolloutLayout): RolloutContent {
	return {
		...(rollouts ? {rollouts: {at: rollouts.at, age: rollouts.age, ...(rollouts.directives ? {directives: rollouts.directives.map(row => directiveOfRow(row))} : {})}} : {}),
		...(evidence ? {evidence: evidence.map(row => reportOfRow(row))} : {}),
	};
}

/**
 * @param permits - Permits of the receiver.
 * @returns Their rows.
 */
export const permitRowsOf = (permits: readonly StepPermits[]) => permits.map(({service, step, count}) => [service, step, count] as const);

/**
 * @param rows - Rows of a datagram.
 * @returns Permits of this process.
 */
export const permitsOfRows = (rows: ReadonlyArray<typeof PermitRow.Type>): readonly StepPermits[] => rows.map(([service, step, count]) => ({service, step, count}));

function directiveRowOf({service, target, duration, phase, step, share, spread, routes, replaced}: RolloutDirective): typeof DirectiveRow.Type {
	return [service, target, duration, phase, step, share, spread, routes, replaced];
}

function directiveOfRow([service, target, duration, phase, step, share, spread, routes, replaced]: typeof DirectiveRow.Type): RolloutDirective {
	return {
		service, target, duration, phase, step, share, spread, routes, replaced,
	};
}

function evidenceRowOf({service, target, duration, step, used, isClosed, pending, remaining, arrivals, canCompare, routes}: EvidenceReport): typeof EvidenceRow.Type {
	const rows = routes.map(({route, good, bad, oldGood, oldBad}) => [route, good, bad, oldGood, oldBad] as const);
	return [service, target, duration, step, used, isClosed, pending, remaining, arrivals, canCompare, rows];
}

function reportOfRow([service, target, duration, step, used, isClosed, pending, remaining, arrivals, canCompare, rows]: typeof EvidenceRow.Type): EvidenceReport {
	const routes = rows.map(([route, good, bad, oldGood, oldBad]) => ({
		route, good, bad, oldGood, oldBad,
	}));
	return {
		service, target, duration, step, used, isClosed, pending, remaining, arrivals, canCompare, routes,
	};
}
