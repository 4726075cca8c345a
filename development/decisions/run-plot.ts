/**
 * Plots a run per second: the fleet in the upper chart, requests in the lower.
 */
import {writeFileSync} from 'node:fs';
import * as vega from 'vega';
import type {SecondSummary} from './run-summary.js';

/** Width of a chart in pixels. */
const width = 640;
/** Height of a chart in pixels. */
const height = 170;

type Curve = {readonly name: string; readonly valueOf: (row: SecondSummary) => number | undefined};

const countRefused = ({refused}: SecondSummary): number => [...refused.values()].reduce((total, count) => total + count, 0);

const panels: ReadonlyArray<{readonly title: string; readonly curves: readonly Curve[]}> = [
	{
		title: 'replicas',
		curves: [
			{name: 'ready', valueOf: ({ready}) => ready},
			{name: 'reclaimable ordered', valueOf: ({reclaimable}) => reclaimable},
			{name: 'kept ordered', valueOf: ({kept}) => kept},
			{name: 'needed by load', valueOf: ({needed}) => needed},
		],
	},
	{
		title: 'requests a second',
		curves: [
			{name: 'answered', valueOf: ({answered}) => answered},
			{name: 'late', valueOf: ({late}) => late},
			{name: 'refused', valueOf: countRefused},
		],
	},
];

function panelOf(rows: readonly SecondSummary[], {title, curves}: (typeof panels)[number], index: number): vega.GroupMark {
	const values = curves.flatMap(({name, valueOf}) => rows.flatMap(row => {
		const value = valueOf(row);
		return value === undefined ? [] : [{name, second: row.second, value}];
	}));
	const data = `values${index}`;
	return {
		type: 'group',
		title: {text: title, fontSize: 12},
		encode: {enter: {width: {value: width}, height: {value: height}}},
		data: [{name: data, values}],
		scales: [
			{
				name: 'x', type: 'linear', range: [0, width], domain: {data, field: 'second'}, zero: false,
			},
			{
				name: 'y', type: 'linear', range: [height, 0], domain: {data, field: 'value'}, zero: true, nice: true,
			},
			{
				name: 'colour', type: 'ordinal', range: 'category', domain: curves.map(({name}) => name),
			},
		],
		axes: [{scale: 'x', orient: 'bottom', title: 'second'}, {scale: 'y', orient: 'left'}],
		legends: [{stroke: 'colour', orient: 'right'}],
		marks: [{
			type: 'group',
			from: {facet: {name: 'curve', data, groupby: 'name'}},
			marks: [{
				type: 'line',
				from: {data: 'curve'},
				encode: {
					enter: {
						x: {scale: 'x', field: 'second'}, y: {scale: 'y', field: 'value'}, stroke: {scale: 'colour', field: 'name'}, strokeWidth: {value: 1.5},
					},
				},
			}],
		}],
	};
}

/**
 * Writes the plot of a run.
 *
 * @param file - Path of the SVG file.
 * @param rows - Summaries of the seconds of the run.
 */
export async function writeRunPlot(file: string, rows: readonly SecondSummary[]): Promise<void> {
	const specification: vega.Spec = {
		$schema: 'https://vega.github.io/schema/vega/v5.json',
		padding: 10,
		layout: {columns: 1, padding: 30},
		marks: panels.map((panel, index) => panelOf(rows, panel, index)),
	};
	const view = new vega.View(vega.parse(specification), {renderer: 'none'});
	writeFileSync(file, await view.toSVG());
	view.finalize();
}
