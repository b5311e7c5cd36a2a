import net from 'node:net';
import { randomBytes } from 'node:crypto';
import { inflateRawSync } from 'node:zlib';
import { decode } from 'cbor-x';
import { z } from 'zod';
import isSameSecret from '../shared/isSameSecret';
import compressFrame from './compressFrame';
import createFrameReader from './createFrameReader';
import encodeFrame from './encodeFrame';
import getProof from './getProof';
import Message from './Message';

const PROTOCOL_VERSION = 1;
const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const MAX_HELLO_BYTES = 1024;
const MAX_QUEUED_BYTES = 8 * 1024 * 1024;
/** The bound on all links together is checked only while this much waits on the link in use. */
const MIN_BOUNDED_BYTES = 256 * 1024;
const HANDSHAKE_TIMEOUT_MS = 2000;
const REDIAL_PAUSE_MS = 250;
/** Kinds of unreadable messages that are reported of one VM. */
const MAX_REPORTED_KINDS = 32;
const MAX_KIND_LENGTH = 64;

const Hello = z.object({
  protocol: z.number(),
  from: z.string().max(64),
  nonce: z.string().max(64),
});
const Welcome = z.object({
  nonce: z.string().max(64),
  proof: z.string().max(128),
  /** Whether the acceptor reads compressed frames. */
  compression: z.boolean().optional(),
});
const Confirmation = z.object({ proof: z.string().max(128) });

/** Why a link ended. The values are also those of the `reason` label of a metric. */
type LinkEndReason =
  | 'closed'
  | 'badFrame'
  | 'badHello'
  | 'badProof'
  | 'wrongProtocol'
  | 'handshakeTimeout'
  /** More connections than allowed have not authenticated. */
  | 'tooManyHandshakes'
  | 'queueFull'
  | 'redial';

interface Link {
  socket: net.Socket;
  isReady: boolean;
  /** Whether the other VM reads compressed frames. */
  isCompressed: boolean;
}

interface MeshHost {
  onMessage(from: string, message: Message): void;
  onLinkEnd(peer: string, reason: LinkEndReason): void;
  /** Called for the first message of a kind and VM that this build does not understand. */
  onUnreadable(from: string, kind: string): void;
  onSent(kind: Message['kind'], bytes: number): void;
}

/**
 * Creates the TCP links to the other entry VMs. Each VM connects to every other VM and sends only
 * on the link that it opened, so that each direction is ordered and fails independently. Both ends
 * authenticate with the cluster key before any message is read. Messages that this build does not
 * understand are dropped, and the link stays: VMs are upgraded one after the other.
 */
export default function createMesh(
  host: MeshHost,
  options: {
    address: string;
    clusterKey: string;
    listenHost: string;
    listenPort: number;
    /** Largest number of accepted connections that have not authenticated. */
    maxHandshakes?: number;
    /** Largest number of bytes that wait to be sent on all links together. */
    maxQueuedBytes?: number;
  },
) {
  const { maxHandshakes = Infinity, maxQueuedBytes = Infinity } = options;
  const links = new Map<string, Link>();
  const accepted = new Set<net.Socket>();
  /** Accepted connections that have not authenticated, the oldest first. */
  const handshakes = new Set<net.Socket>();
  let peers = new Set<string>();
  let isClosed = false;
  /** Kinds of messages that could not be read, by the VM that sent them. */
  const unreadableKinds = new Map<string, Set<string>>();
  /** Cache of the last encoded frame: the same message is often sent to many VMs in a row. */
  let lastSent: { message: Message; isCompressed: boolean; frame: Buffer } | undefined;
  const server = net.createServer(accept);

  function listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.listenPort, options.listenHost, () => resolve());
    });
  }

  /** Reports a message that another build may understand, once for each VM and kind. */
  function reportUnreadable(from: string, value: unknown): void {
    const kind = getKind(value);
    const reported = unreadableKinds.get(from) ?? new Set<string>();
    unreadableKinds.set(from, reported);
    if (!reported.has(kind) && reported.size < MAX_REPORTED_KINDS) {
      reported.add(kind);
      host.onUnreadable(from, kind);
    }
  }

  function accept(socket: net.Socket): void {
    if (handshakes.size >= maxHandshakes) {
      const [oldest] = handshakes;
      host.onLinkEnd('unknown', 'tooManyHandshakes');
      oldest.destroy();
      handshakes.delete(oldest);
    }
    accepted.add(socket);
    handshakes.add(socket);
    socket.setNoDelay(true);
    const acceptorNonce = randomBytes(16).toString('hex');
    let hello: z.infer<typeof Hello> | undefined;
    let isAuthenticated = false;
    const endConnection = (reason: LinkEndReason) => {
      if (!socket.destroyed) {
        host.onLinkEnd(hello?.from ?? 'unknown', reason);
      }
      socket.destroy();
    };
    const timer = setTimeout(() => endConnection('handshakeTimeout'), HANDSHAKE_TIMEOUT_MS);
    const handleFrame = (payload: Buffer, isCompressed: boolean) => {
      if (socket.destroyed) {
        return;
      }
      const value = isCompressed && !isAuthenticated ? undefined : tryDecode(payload, isCompressed);
      if (isAuthenticated) {
        if (value === undefined) {
          endConnection('badFrame');
          return;
        }
        const message = Message.safeParse(value);
        if (message.success) {
          host.onMessage(hello!.from, message.data);
        } else {
          reportUnreadable(hello!.from, value);
        }
        return;
      }
      if (!hello) {
        const parsed = Hello.safeParse(value);
        if (!parsed.success || payload.length > MAX_HELLO_BYTES) {
          endConnection('badHello');
          return;
        }
        if (parsed.data.protocol !== PROTOCOL_VERSION) {
          endConnection('wrongProtocol');
          return;
        }
        hello = parsed.data;
        const proof = getProof(options.clusterKey, 'acceptor', createBinding(hello, acceptorNonce));
        socket.write(encodeFrame({ nonce: acceptorNonce, proof, compression: true }));
        return;
      }
      const parsed = Confirmation.safeParse(value);
      const expected = getProof(options.clusterKey, 'dialer', createBinding(hello, acceptorNonce));
      if (!parsed.success || !isSameSecret(parsed.data.proof, expected)) {
        endConnection('badProof');
        return;
      }
      isAuthenticated = true;
      handshakes.delete(socket);
      clearTimeout(timer);
    };
    const createBinding = (dialerHello: z.infer<typeof Hello>, responseNonce: string) => ({
      from: dialerHello.from,
      to: options.address,
      dialerNonce: dialerHello.nonce,
      acceptorNonce: responseNonce,
    });
    const readChunk = createFrameReader(
      () => (isAuthenticated ? MAX_FRAME_BYTES : MAX_HELLO_BYTES),
      handleFrame,
    );
    socket.on('data', (chunk) => {
      if (!readChunk(chunk)) {
        endConnection('badFrame');
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(timer);
      accepted.delete(socket);
      handshakes.delete(socket);
    });
  }

  function dial(peer: string): void {
    if (isClosed || links.has(peer) || !peers.has(peer)) {
      return;
    }
    const [peerHost, peerPort] = peer.split(':');
    const socket = net.connect({
      host: peerHost,
      port: Number(peerPort),
      localAddress: options.listenHost,
    });
    const link = { socket, isReady: false, isCompressed: false };
    links.set(peer, link);
    socket.setNoDelay(true);
    const dialerNonce = randomBytes(16).toString('hex');
    const timer = setTimeout(() => endLink(peer, 'handshakeTimeout'), HANDSHAKE_TIMEOUT_MS);
    socket.once('connect', () => {
      socket.write(
        encodeFrame({ protocol: PROTOCOL_VERSION, from: options.address, nonce: dialerNonce }),
      );
    });
    const readChunk = createFrameReader(
      () => MAX_HELLO_BYTES,
      (payload) => {
        const parsed = Welcome.safeParse(tryDecode(payload, false));
        const binding = {
          from: options.address,
          to: peer,
          dialerNonce,
          acceptorNonce: parsed.data?.nonce ?? '',
        };
        const expected = getProof(options.clusterKey, 'acceptor', binding);
        if (link.isReady || !parsed.success || !isSameSecret(parsed.data.proof, expected)) {
          endLink(peer, 'badProof');
          return;
        }
        clearTimeout(timer);
        socket.write(encodeFrame({ proof: getProof(options.clusterKey, 'dialer', binding) }));
        link.isReady = true;
        link.isCompressed = parsed.data.compression === true;
      },
    );
    socket.on('data', (chunk) => {
      if (!readChunk(chunk)) {
        endLink(peer, 'badFrame');
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(timer);
      if (links.get(peer) === link) {
        links.delete(peer);
        if (link.isReady) {
          host.onLinkEnd(peer, 'closed');
        }
        setTimeout(() => dial(peer), REDIAL_PAUSE_MS).unref();
      }
    });
  }

  function endLink(peer: string, reason: LinkEndReason): void {
    const link = links.get(peer);
    if (!link) {
      return;
    }
    links.delete(peer);
    link.socket.destroy();
    host.onLinkEnd(peer, reason);
    setTimeout(() => dial(peer), REDIAL_PAUSE_MS).unref();
  }

  /** Sets the VMs to connect to; closes the links to all others. */
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

  /**
   * Sends a message if the link is ready; returns whether it was queued for sending. Ends the link
   * if too many bytes are queued on it.
   */
  function send(to: string, message: Message): boolean {
    const link = links.get(to);
    if (!link?.isReady) {
      return false;
    }
    if (link.socket.writableLength > MAX_QUEUED_BYTES) {
      endLink(to, 'queueFull');
      return false;
    }
    if (link.socket.writableLength > MIN_BOUNDED_BYTES && getTotalQueuedBytes() > maxQueuedBytes) {
      endLink(getFullestLink(), 'queueFull');
      if (links.get(to) !== link) {
        return false;
      }
    }
    const frame = getFrame(message, link.isCompressed);
    link.socket.write(frame);
    host.onSent(message.kind, frame.length);
    return true;
  }

  function getTotalQueuedBytes(): number {
    let bytes = 0;
    links.forEach(({ socket }) => {
      bytes += socket.writableLength;
    });
    return bytes;
  }

  /** Returns the peer with the most bytes that wait to be sent, as one that does not read. */
  function getFullestLink(): string {
    return [...links].reduce((fullest, link) =>
      link[1].socket.writableLength > fullest[1].socket.writableLength ? link : fullest,
    )[0];
  }

  function getFrame(message: Message, isCompressed: boolean): Buffer {
    if (lastSent?.message === message && lastSent.isCompressed === isCompressed) {
      return lastSent.frame;
    }
    const encoded = encodeFrame(message);
    const frame = isCompressed ? compressFrame(encoded) : encoded;
    lastSent = { message, isCompressed, frame };
    return frame;
  }

  /** Replaces the link to a VM that no longer receives or sends heartbeats. */
  function redial(peer: string): void {
    endLink(peer, 'redial');
  }

  function close(): void {
    isClosed = true;
    server.close();
    links.forEach((link) => link.socket.destroy());
    accepted.forEach((socket) => socket.destroy());
  }

  /** Returns the bytes that wait to be sent, by link; links without any are left out. */
  function getQueuedBytes(): Map<string, number> {
    return new Map(
      [...links]
        .map(([peer, { socket }]): [string, number] => [peer, socket.writableLength])
        .filter(([, bytes]) => bytes > 0),
    );
  }

  return { listen, setPeers, send, redial, close, getQueuedBytes };
}

function tryDecode(payload: Buffer, isCompressed: boolean): unknown {
  try {
    return decode(
      // eslint-disable-next-line n/no-sync -- some tens of microseconds, and frames stay in order
      isCompressed ? inflateRawSync(payload, { maxOutputLength: MAX_FRAME_BYTES }) : payload,
    );
  } catch {
    return undefined;
  }
}

function getKind(value: unknown): string {
  const kind = typeof value === 'object' && value !== null && 'kind' in value ? value.kind : value;
  return String(kind).slice(0, MAX_KIND_LENGTH);
}
