import type Step from './Step';

/** Splits a scenario into its steps: a line each, `#` begins a comment. */
export default function parseScenario(file: string, text: string): Step[] {
  return text
    .split('\n')
    .map((line, index) => ({ file, line: index + 1, text: line.replace(/#.*/, '').trim() }))
    .filter((step) => step.text !== '')
    .map((step) => ({ ...step, words: step.text.split(/\s+/) }));
}
