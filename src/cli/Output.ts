/** Output of a command: `print` writes results, as JSON if `json` is set. */
interface Output {
  json: boolean;
  print(text: string): void;
  printError(text: string): void;
}

export default Output;
