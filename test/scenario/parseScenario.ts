import type Step from './Step';

/** Parses a scenario into steps, one for each line; `#` starts a comment. */
export default function parseScenario(file: string, text: string): Step[] {
  return text
    .split('\n')
    .map((line, index) => ({ file, line: index + 1, text: line.replace(/#.*/, '').trim() }))
    .filter((step) => step.text !== '')
    .map((step) => ({ ...step, words: step.text.split(/\s+/) }));
}
