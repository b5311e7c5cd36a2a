/** The answer to a caller, as it is written. */
interface ResponseWriter {
  /** Writes status and headers; `isWhole` where the body follows at once in one piece. */
  writeHead(status: number, headers: [string, string][]): void;
  /** Writes a piece; answers false where the caller should be given time to read. */
  write(chunk: Buffer): boolean;
  end(body?: Buffer): void;
  /** Ends the connection without a complete answer. */
  cut(): void;
  /** Calls back once the caller can take more. */
  onDrain(callback: () => void): void;
}

export default ResponseWriter;
