import net from 'node:net';
import { randomBytes } from 'node:crypto';
import { decode } from 'cbor-x';
import { z } from 'zod';
import isSameSecret from '../shared/isSameSecret';
import createFrameReader from './createFrameReader';
import encodeFrame from './encodeFrame';
import getProof from './getProof';
import Message from './Message';

const PROTOCOL_VERSION = 1;
const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const MAX_HELLO_BYTES = 1024;
const MAX_QUEUED_BYTES = 8 * 1024 * 1024;
const HANDSHAKE_TIMEOUT_MS = 2000;
const REDIAL_PAUSE_MS = 250;

const Hello = z.object({
  protocol: z.number(),
  from: z.string().max(64),
  nonce: z.string().max(64),
});
const Welcome = z.object({ nonce: z.string().max(64), proof: z.string().max(128) });
const Confirmation = z.object({ proof: z.string().max(128) });

/** Why a link ended; the names are the values of the metric's `reason` label. */
type LinkEnd =
  | 'closed'
  | 'badFrame'
  | 'badHello'
  | 'badProof'
  | 'wrongProtocol'
  | 'handshakeTimeout'
  | 'queueFull'
  | 'redial';

interface MeshHost {
  onMessage(from: string, message: Message): void;
  onLinkEnd(peer: string, reason: LinkEnd): void;
  onSent(kind: Message['kind'], bytes: number): void;
}

/**
 * Links to the other entry VMs. Every VM dials every other one and sends on the link that it
 * dialled, so that each direction has an order of its own and fails by itself. Both ends prove
 * that they hold the cluster key before any message is read.
 */
export default function createMesh(
  host: MeshHost,
  options: { address: string; clusterKey: string; listenHost: string; listenPort: number },
) {
  const links = new Map<string, { socket: net.Socket; ready: boolean }>();
  const accepted = new Set<net.Socket>();
  let peers = new Set<string>();
  let closed = false;
  /** The last message and its frame: the same one is often sent to many VMs in a row. */
  let last: { message: Message; frame: Buffer } | undefined;
  const server = net.createServer(accept);

  function listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.listenPort, options.listenHost, () => resolve());
    });
  }

  function accept(socket: net.Socket): void {
    accepted.add(socket);
    socket.setNoDelay(true);
    const acceptorNonce = randomBytes(16).toString('hex');
    let hello: z.infer<typeof Hello> | undefined;
    let authenticated = false;
    const end = (reason: LinkEnd) => {
      if (!socket.destroyed) {
        host.onLinkEnd(hello?.from ?? 'unknown', reason);
      }
      socket.destroy();
    };
    const timer = setTimeout(() => end('handshakeTimeout'), HANDSHAKE_TIMEOUT_MS);
    const takeFrame = (payload: Buffer) => {
      if (socket.destroyed) {
        return;
      }
      const value = tryDecode(payload);
      if (authenticated) {
        const message = Message.safeParse(value);
        if (!message.success) {
          end('badFrame');
          return;
        }
        host.onMessage(hello!.from, message.data);
        return;
      }
      if (!hello) {
        const parsed = Hello.safeParse(value);
        if (!parsed.success || payload.length > MAX_HELLO_BYTES) {
          end('badHello');
          return;
        }
        if (parsed.data.protocol !== PROTOCOL_VERSION) {
          end('wrongProtocol');
          return;
        }
        hello = parsed.data;
        const proof = getProof(options.clusterKey, 'acceptor', getBinding(hello, acceptorNonce));
        socket.write(encodeFrame({ nonce: acceptorNonce, proof }));
        return;
      }
      const parsed = Confirmation.safeParse(value);
      const expected = getProof(options.clusterKey, 'dialer', getBinding(hello, acceptorNonce));
      if (!parsed.success || !isSameSecret(parsed.data.proof, expected)) {
        end('badProof');
        return;
      }
      authenticated = true;
      clearTimeout(timer);
    };
    const getBinding = (greeting: z.infer<typeof Hello>, nonce: string) => ({
      from: greeting.from,
      to: options.address,
      dialerNonce: greeting.nonce,
      acceptorNonce: nonce,
    });
    const take = createFrameReader(MAX_FRAME_BYTES, takeFrame);
    socket.on('data', (chunk) => {
      if (!take(chunk)) {
        end('badFrame');
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(timer);
      accepted.delete(socket);
    });
  }

  function dial(peer: string): void {
    if (closed || links.has(peer) || !peers.has(peer)) {
      return;
    }
    const [peerHost, peerPort] = peer.split(':');
    const socket = net.connect({
      host: peerHost,
      port: Number(peerPort),
      localAddress: options.listenHost,
    });
    const link = { socket, ready: false };
    links.set(peer, link);
    socket.setNoDelay(true);
    const nonce = randomBytes(16).toString('hex');
    const timer = setTimeout(() => endLink(peer, 'handshakeTimeout'), HANDSHAKE_TIMEOUT_MS);
    socket.once('connect', () => {
      socket.write(encodeFrame({ protocol: PROTOCOL_VERSION, from: options.address, nonce }));
    });
    const take = createFrameReader(MAX_HELLO_BYTES, (payload) => {
      const parsed = Welcome.safeParse(tryDecode(payload));
      const binding = {
        from: options.address,
        to: peer,
        dialerNonce: nonce,
        acceptorNonce: parsed.data?.nonce ?? '',
      };
      const expected = getProof(options.clusterKey, 'acceptor', binding);
      if (link.ready || !parsed.success || !isSameSecret(parsed.data.proof, expected)) {
        endLink(peer, 'badProof');
        return;
      }
      clearTimeout(timer);
      socket.write(encodeFrame({ proof: getProof(options.clusterKey, 'dialer', binding) }));
      link.ready = true;
    });
    socket.on('data', (chunk) => {
      if (!take(chunk)) {
        endLink(peer, 'badFrame');
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(timer);
      if (links.get(peer) === link) {
        links.delete(peer);
        if (link.ready) {
          host.onLinkEnd(peer, 'closed');
        }
        setTimeout(() => dial(peer), REDIAL_PAUSE_MS).unref();
      }
    });
  }

  function endLink(peer: string, reason: LinkEnd): void {
    const link = links.get(peer);
    if (!link) {
      return;
    }
    links.delete(peer);
    link.socket.destroy();
    host.onLinkEnd(peer, reason);
    setTimeout(() => dial(peer), REDIAL_PAUSE_MS).unref();
  }

  /** Sets the VMs to be linked with; links to others end. */
  function setPeers(addresses: readonly string[]): void {
    peers = new Set(addresses.filter((address) => address !== options.address));
    links.forEach((link, peer) => {
      if (!peers.has(peer)) {
        links.delete(peer);
        link.socket.destroy();
      }
    });
    peers.forEach(dial);
  }

  /** Sends a message when the link stands; says whether it was queued for sending. */
  function send(to: string, message: Message): boolean {
    const link = links.get(to);
    if (!link?.ready) {
      return false;
    }
    if (link.socket.writableLength > MAX_QUEUED_BYTES) {
      endLink(to, 'queueFull');
      return false;
    }
    const frame = last?.message === message ? last.frame : encodeFrame(message);
    last = { message, frame };
    link.socket.write(frame);
    host.onSent(message.kind, frame.length);
    return true;
  }

  /** Replaces a link on which the other end has stopped hearing this one. */
  function redial(peer: string): void {
    endLink(peer, 'redial');
  }

  function close(): void {
    closed = true;
    server.close();
    links.forEach((link) => link.socket.destroy());
    accepted.forEach((socket) => socket.destroy());
  }

  return { listen, setPeers, send, redial, close };
}

function tryDecode(payload: Buffer): unknown {
  try {
    return decode(payload);
  } catch {
    return undefined;
  }
}
