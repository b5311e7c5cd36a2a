type Write = (bytes: Buffer | string) => Promise<boolean>;

const PIECE_BYTES = 64 * 1024;
const ONE_BYTE_CHUNKS = 10_000;
const MB = 1_000_000;
/** Just short of the largest body that is allowed, 4 MiB. */
const SHORT_BYTES = 3.9 * MB;
const SMALL_CHUNK_BODY_BYTES = 0.8 * MB;
const FAR_OVER_BYTES = 12 * MB;
const DECLARED_BYTES = 60 * MB;
const PIPELINED_REQUESTS = 8000;
const PIPELINED_LARGE_RESPONSES = 20;
/** The key is that of `createTrial`; VMs on the platform stand-in pass it on. */
const HEAD_LINES =
  'Host: trial.example\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer trial-caller-key\r\n';

let requestCount = 0;

function createHead(method: string, path: string, lines: string): string {
  requestCount += 1;
  const id = `Request-Id: uncontrolled-${requestCount}\r\n`;
  return `${method} ${path} HTTP/1.1\r\n${HEAD_LINES}${id}${lines}\r\n`;
}

async function writeTimes(write: Write, bytes: Buffer, total: number): Promise<void> {
  for (let sent = 0; sent < total; sent += bytes.length) {
    if (!(await write(bytes))) {
      return;
    }
  }
}

/** Sends a body in chunks that never ends. */
function createChunkedSender(path: string, bytes: number, chunkBytes: number) {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const piece = Buffer.from(chunkBytes === 1 ? chunk.repeat(ONE_BYTE_CHUNKS) : chunk);
  const pieceBytes = chunkBytes === 1 ? ONE_BYTE_CHUNKS : chunkBytes;
  return async (write: Write) => {
    await write(createHead('POST', path, 'Transfer-Encoding: chunked\r\n'));
    await writeTimes(write, piece, (bytes / pieceBytes) * piece.length);
  };
}

/** Sends a part of a body with a declared length. */
function createDeclaredSender(path: string, declaredBytes: number, bytes: number) {
  return async (write: Write) => {
    await write(createHead('POST', path, `Content-Length: ${declaredBytes}\r\n`));
    await writeTimes(write, Buffer.alloc(PIECE_BYTES, 'x'), bytes);
  };
}

/** Sends many requests on one connection without waiting for the responses. */
function createPipeliningSender(path: string, count: number) {
  return async (write: Write) => {
    for (let sent = 0; sent < count; sent += 1) {
      if (!(await write(createHead('GET', path, '')))) {
        return;
      }
    }
  };
}

const clientSenders = {
  largeChunks: (path: string) => createChunkedSender(path, SHORT_BYTES, PIECE_BYTES),
  oneByteChunks: (path: string) => createChunkedSender(path, SMALL_CHUNK_BODY_BYTES, 1),
  declaredLength: (path: string) => createDeclaredSender(path, 4 * MB, SHORT_BYTES),
  farOver: (path: string) => createChunkedSender(path, FAR_OVER_BYTES, PIECE_BYTES),
  farOverDeclared: (path: string) => createDeclaredSender(path, DECLARED_BYTES, FAR_OVER_BYTES),
  pipelined: (path: string) => createPipeliningSender(path, PIPELINED_REQUESTS),
  pipelinedLarge: (path: string) => createPipeliningSender(path, PIPELINED_LARGE_RESPONSES),
  unreadStream: (path: string) => async (write: Write) =>
    write(createHead('POST', path, 'Model: base\r\nContent-Length: 0\r\n')),
  unreadResponse: (path: string) => async (write: Write) => write(createHead('GET', path, '')),
  incompleteHead: (path: string) => async (write: Write) =>
    write(createHead('GET', path, `X-Long: ${'x'.repeat(PIECE_BYTES / 8)}\r\n`).slice(0, -2)),
  nothing: () => async () => true,
};

export default clientSenders;
