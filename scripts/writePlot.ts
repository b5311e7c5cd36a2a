import { writeFileSync } from 'node:fs';
import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';

/** Writes a vega-lite plot to an SVG file; adds the schema and background to the specification. */
export default async function writePlot(
  file: string,
  specification: Record<string, unknown>,
): Promise<void> {
  const completeSpecification = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    background: 'white',
    ...specification,
  } as unknown as TopLevelSpec;
  const view = new View(parse(compile(completeSpecification).spec), { renderer: 'none' });
  writeFileSync(file, await view.toSVG());
}
