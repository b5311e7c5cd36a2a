/** One line of a scenario file, split into words. */
interface Step {
  file: string;
  line: number;
  text: string;
  words: string[];
}

export default Step;
