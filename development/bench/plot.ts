/**
 * Plots measurements and their fitted lines as an SVG file.
 */
import {writeFileSync} from 'node:fs';
import * as vega from 'vega';
import type {Line, Point} from './fit.js';

/** One chart of the plot. */
export type Panel = {
	readonly title: string;
	readonly points: readonly Point[];
	readonly line: Line;
};

/** Width of a chart in pixels. */
const width = 220;
/** Height of a chart in pixels. */
const height = 130;
/** Number of charts in a row. */
const columns = 4;

function panelOf({title, points, line}: Panel): vega.GroupMark {
	const ends = [0, Math.max(...points.map(({x}) => x))].map(x => ({x, y: line.intercept + (line.slope * x)}));
	return {
		type: 'group',
		title: {text: title, fontSize: 11},
		encode: {enter: {width: {value: width}, height: {value: height}}},
		data: [{name: 'points', values: [...points]}, {name: 'line', values: ends}],
		scales: [
			{
				name: 'x', type: 'linear', range: [0, width], domain: {data: 'points', field: 'x'}, zero: true,
			},
			{
				name: 'y', type: 'linear', range: [height, 0], domain: {data: 'points', field: 'y'}, zero: true, nice: true,
			},
		],
		axes: [{scale: 'x', orient: 'bottom', tickCount: 5}, {scale: 'y', orient: 'left', tickCount: 5}],
		marks: [
			{
				type: 'line', from: {data: 'line'}, encode: {enter: {x: {scale: 'x', field: 'x'}, y: {scale: 'y', field: 'y'}, stroke: {value: '#888'}}},
			},
			{
				type: 'symbol', from: {data: 'points'}, encode: {
					enter: {
						x: {scale: 'x', field: 'x'}, y: {scale: 'y', field: 'y'}, fill: {value: '#1f77b4'}, size: {value: 40},
					},
				},
			},
		],
	};
}

/**
 * Writes a plot.
 *
 * @param file - Path of the SVG file.
 * @param panels - Charts, in rows of four.
 */
export async function writePlot(file: string, panels: readonly Panel[]): Promise<void> {
	const specification: vega.Spec = {
		$schema: 'https://vega.github.io/schema/vega/v5.json',
		padding: 10,
		layout: {columns, padding: 30},
		marks: panels.map(panel => panelOf(panel)),
	};
	const view = new vega.View(vega.parse(specification), {renderer: 'none'});
	writeFileSync(file, await view.toSVG());
	view.finalize();
}
