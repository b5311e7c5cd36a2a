/** Writes the response to a caller. */
interface ResponseWriter {
  /** Writes the status line and headers. */
  writeHead(status: number, headers: [string, string][]): void;
  /** Writes a part of the body; returns false if the caller should wait for `onDrain`. */
  write(chunk: Buffer): boolean;
  end(body?: Buffer): void;
  /** Closes the connection before the response is complete. */
  abort(): void;
  /** Calls `callback` once the write buffer has drained. */
  onDrain(callback: () => void): void;
}

export default ResponseWriter;
