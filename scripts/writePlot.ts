import { writeFileSync } from 'node:fs';
import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';

/** Writes a plot as SVG; the specification is vega-lite's, without its schema and background. */
export default async function writePlot(
  file: string,
  specification: Record<string, unknown>,
): Promise<void> {
  const whole = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    background: 'white',
    ...specification,
  } as unknown as TopLevelSpec;
  const view = new View(parse(compile(whole).spec), { renderer: 'none' });
  writeFileSync(file, await view.toSVG());
}
