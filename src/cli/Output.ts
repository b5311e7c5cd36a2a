/** Where a command writes: results, and what went wrong. `json` asks for JSON. */
interface Output {
  json: boolean;
  print(text: string): void;
  fail(text: string): void;
}

export default Output;
