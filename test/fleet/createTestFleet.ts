import { inflateRawSync } from 'node:zlib';
import { decode } from 'cbor-x';
import createRandom from '../../bench/createRandom';
import createRoutedEntry from '../../src/entry/createRoutedEntry';
import type DecodedChange from '../../src/entry/DecodedChange';
import type RoutedEntryHost from '../../src/entry/RoutedEntryHost';
import type Change from '../../src/keyValue/Change';
import type Organisation from '../../src/manifest/Organisation';
import compressFrame from '../../src/mesh/compressFrame';
import createFrameReader from '../../src/mesh/createFrameReader';
import encodeFrame from '../../src/mesh/encodeFrame';
import type Manifest from '../../src/manifest/Manifest';
import Message from '../../src/mesh/Message';
import type ResponseHandler from '../../src/upstream/ResponseHandler';
import type Upstream from '../../src/upstream/Upstream';
import createKeyValueStore from '../../standins/platform/createKeyValueStore';
import createVirtualClock from '../scenario/createVirtualClock';
import createManifest from './createManifest';
import createRequest from './createRequest';
import createTestEngine from './createTestEngine';
import createTestDesks from './createTestDesks';
import forwardTestRequest from './forwardTestRequest';
import createTestModelEngines from './createTestModelEngines';
import createTestPartitions from './createTestPartitions';
import createTestKeyValue from './createTestKeyValue';
import type KeyValueFault from './KeyValueFault';

const LINK_DELAY_MS = 1;
const LEASE_CHECK_MS = 100;
const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const MANIFEST_KEY = 'manifest';
const UPSTREAM_PREFIX = 'upstreams/';
const STREAM_MS = 1500;
const IDLE_LOAD = { running: 0, waiting: 0, slots: 16, slowdown: undefined };

/** How a call ended; `retryAfterMs` is 0 unless the response names a time to return. */
interface CallResult {
  vm: string;
  path: string;
  sentAt: number;
  status: number;
  retryAfterMs: number;
  ms: number;
}

/**
 * Creates entry VMs with all their controllers on fake links and a fake key-value service, which can
 * refuse single VMs. Time is virtual. Links may lose messages and have a limited bandwidth.
 */
export default function createTestFleet(options: {
  vms: number;
  dataCentres?: string[];
  /** Engines that hold adapters from the start. */
  engines?: number;
  /** Engines that load adapters on command, in place of those that hold some from the start. */
  modelEngines?: { count: number; adapterSlots: number; tokensPerMs: number };
  /** Upstreams of a service that is not a model. */
  desks?: number;
  /** Whether upstreams state a load, which is always that of an idle one; by default they state none. */
  isLoadStated?: boolean;
  /** Returns whether a request crashes each desk that runs it; by default none does. */
  isCrashing?: (path: string) => boolean;
  /** Organisations of the manifest, by key; by default, callers need no key. */
  organisations?: Manifest['organisations'];
  /** Bytes that the outgoing link of a VM carries in a millisecond; unlimited if undefined. */
  linkBytesPerMs?: number;
  /** Time without confirmation of the manifest after which requests that need a key are refused. */
  maxUnconfirmedMs?: number;
}) {
  const clock = createVirtualClock();
  const random = createRandom(1);
  const dataCentres = options.dataCentres ?? ['x', 'y', 'z'];
  const engines = Array.from({ length: options.engines ?? 0 }, (_, index) =>
    createTestEngine(index),
  );
  const modelEngines = options.modelEngines && createTestModelEngines(clock, options.modelEngines);
  const store = createKeyValueStore();
  const desks = createTestDesks(
    {
      ...clock,
      register: (id, desk) => (desk ? put(`${UPSTREAM_PREFIX}${id}`, desk) : remove(id)),
      isCrashing: options.isCrashing ?? (() => false),
    },
    options.desks ?? 0,
  );
  const addresses = Array.from({ length: options.vms }, (_, index) => `10.0.0.${index + 1}:7380`);
  const partitions = createTestPartitions(clock);
  const faults = new Map<string, KeyValueFault>();
  const lostLinks = new Set<string>();
  let lastFrame: { message: Message; frame: Buffer } | undefined;
  const linkFreeAt = new Map<string, number>();
  /** Messages that their receiver refused; the mesh would have ended the link. */
  const refusedMessages: string[] = [];
  const sentBytes = new Map<string, number>();
  /** Number of the running process of each VM that was killed; others run their first one. */
  const processes = new Map<string, number>();
  /** Keys that VMs wrote to the key-value service, once for each write. */
  const writtenKeys: string[] = [];
  /** Requests that VMs sent to upstreams, with the organisation that they stated. */
  const sentRequests: { vm: string; path: string; organisation: string }[] = [];
  /** Times at which paused VMs go on. */
  const pausedUntil = new Map<string, number>();
  const restartListeners = new Set<(vm: string) => void>();
  let callCount = 0;
  const events: { at: number; vm: string; name: string; fields: Record<string, unknown> }[] = [];
  const vms = new Map(addresses.map((address, index) => [address, createVm(address, index)]));

  function createVm(address: string, index: number): ReturnType<typeof createRoutedEntry> {
    const processNumber = processes.get(address) ?? 0;
    const isRunning = () => (processes.get(address) ?? 0) === processNumber;
    const log: RoutedEntryHost['log'] = (name, fields = {}) =>
      events.push({ at: clock.now(), vm: address, name, fields });
    return createRoutedEntry(
      {
        now: clock.now,
        setTimer: (delayMs, callback) => setTimerOfVm(address, delayMs, callback),
        keyValue: createTestKeyValue(
          { ...clock, getFault: () => faults.get(address) ?? 'none' },
          { store, writtenKeys },
        ),
        engines: {
          sendCommand: async (engine, command, condition) => {
            await waitLink();
            const result = modelEngines?.sendCommand(engine, command, condition);
            await waitLink();
            return result ?? { ok: false, error: { kind: 'noAnswer', reason: 'none' } };
          },
          getReport: async (upstream) => {
            const { id } = upstream;
            if (modelEngines) {
              return modelEngines.getReport(upstream);
            }
            const { models } = engines.find((engine) => engine.id === id)!;
            return { ok: true, value: { models, coming: [], sequence: 1, isBusy: false } };
          },
        },
        connections: {
          send: (upstreamAddress, { path, headers }, _, handler) => {
            const [upstream, resumeAfter, adapter, tokens, eventCount, organisation] = headers;
            sentRequests.push({ vm: address, path, organisation });
            const desk = desks.tryGet(upstreamAddress);
            const request = {
              upstream,
              path,
              resumeAfter: Number(resumeAfter),
              isSenderRunning: isRunning,
            };
            if (modelEngines?.has(upstream)) {
              const prompt = { adapter, tokens: Number(tokens), events: Number(eventCount) };
              return modelEngines.run(upstream, prompt, handler);
            }
            return partitions.connect(address, upstreamAddress, handler, (guarded) =>
              desk && isRunning() ? desks.run(address, desk, request, guarded) : runStream(guarded),
            );
          },
          getOpenCount: () => 0,
        },
        probe: async (upstreamAddress) =>
          (await partitions.tryProbe(address)) ??
          (desks.isDown(upstreamAddress) ? 'refused' : 'accepted'),
        decodeChange: (change) => {
          const decoded = decodeChange(change);
          return options.organisations && decoded.kind === 'manifest' && decoded.manifest
            ? {
                ...decoded,
                manifest: { ...decoded.manifest, organisations: options.organisations },
              }
            : decoded;
        },
        encodeRequest: (
          { method, path, adapter = '', promptTokens, outputTokens, verified },
          { upstream, resumeAfter = '0' },
        ) => ({
          method,
          path,
          headers: [
            ...[upstream, resumeAfter, adapter, String(promptTokens), String(outputTokens)],
            verified?.organisation ?? '',
          ],
          body: undefined,
        }),
        decodeHead: (status, headers) => ({
          status,
          headers: [],
          id: undefined,
          isNotRun: status === 421 || status === 503,
          limit:
            headers.limit === undefined
              ? { kind: 'none' }
              : { kind: 'stated', perSecond: Number(headers.limit) },
          isLeaving: headers.leaving === '1',
          isBrittle: headers.brittle !== undefined,
          load: options.isLoadStated ? IDLE_LOAD : undefined,
          rest:
            headers.rest === undefined
              ? { kind: 'none' }
              : { kind: 'stated', ms: Number(headers.rest) },
        }),
        forwardRequest: (vm, request, handler) =>
          isRunning()
            ? forwardTestRequest({ ...clock, handle: vms.get(vm)!.handle }, request, handler)
            : undefined,
        decodeForwardedHead: (id, status, headers) => ({
          status,
          headers: Object.entries(headers) as [string, string][],
          id,
          isNotRun: status === 503,
          limit: { kind: 'none' },
          isLeaving: false,
          isBrittle: false,
          load: undefined,
          rest: { kind: 'none' },
        }),
        send: (to, message) => isRunning() && send(address, to, message),
        getQueuedBytes: () => new Map(),
        redial: () => {},
        setPeers: () => {},
        random,
        getTimeOfDay: clock.now,
        createNonce: () => `${address}#${processNumber}`,
        log,
      },
      {
        address,
        callerAddress: address.replace(':7380', ':8080'),
        dataCentre: dataCentres[index % dataCentres.length],
        seeds: addresses.slice(0, 3),
        leaseSeconds: 3,
        takeoverDelayMs: 3000,
        getRetryLimits: () => ({ ratio: 0.2, windowMs: 10_000, reserve: 50 }),
        getMaxUnconfirmedMs: () => options.maxUnconfirmedMs ?? Infinity,
      },
    );
  }

  /** Sets a timer that fires once its VM is not paused. */
  function setTimerOfVm(vm: string, delayMs: number, callback: () => void): () => void {
    let cancel = clock.setTimer(delayMs, () => {
      const leftMs = (pausedUntil.get(vm) ?? 0) - clock.now();
      if (leftMs > 0) {
        cancel = clock.setTimer(leftMs, callback);
      } else {
        callback();
      }
    });
    return () => cancel();
  }

  function waitLink(): Promise<void> {
    return new Promise((resolve) => {
      clock.setTimer(LINK_DELAY_MS, resolve);
    });
  }

  function runStream(handler: ResponseHandler) {
    const cancel = clock.setTimer(STREAM_MS, () => {
      handler.onHead(200, {});
      handler.onData(Buffer.from('id: 1\n\n'));
      handler.onEnd();
    });
    return { abort: cancel, pause: () => {}, resume: () => {} };
  }

  /**
   * Sends a stream request by way of a VM; returns its status, and when its first event and its end
   * arrived.
   */
  function sendStreamRequest(
    vm: string,
    adapter: string,
    prompt: { promptTokens: number; outputTokens: number },
  ): Promise<{ status: number; retryAfterMs: number; firstAt: number | undefined }> {
    callCount += 1;
    const request = { ...createRequest(callCount, adapter), ...prompt };
    return new Promise((resolve) => {
      const result = { status: 0, retryAfterMs: 0, firstAt: undefined as number | undefined };
      vms.get(vm)!.handle(request, {
        ...responseWriter,
        writeHead: (status, headers) => {
          const retryAfter = headers.find(([name]) => name === 'retry-after')?.[1];
          Object.assign(result, { status, retryAfterMs: Number(retryAfter ?? 0) * 1000 });
        },
        write: () => {
          result.firstAt ??= clock.now();
          return true;
        },
        end: () => resolve(result),
        abort: () => resolve({ ...result, status: 0 }),
      });
    });
  }

  /** Sends a call to a desk by way of a VM; returns its response once it has ended. */
  function sendCall(vm: string, path = '/call/1', apiKey?: string): Promise<CallResult> {
    const sentAt = clock.now();
    callCount += 1;
    const credentials = { apiKey, allHeaders: [] };
    const request = { ...createRequest(callCount, ''), path, adapter: undefined, credentials };
    return new Promise((resolve) => {
      const result = { status: 0, retryAfterMs: 0 };
      vms.get(vm)!.handle(request, {
        ...responseWriter,
        writeHead: (status, headers) => {
          const retryAfter = headers.find(([name]) => name === 'retry-after')?.[1];
          Object.assign(result, { status, retryAfterMs: Number(retryAfter ?? 0) * 1000 });
        },
        end: () => resolve({ ...result, vm, path, sentAt, ms: clock.now() - sentAt }),
        abort: () => resolve({ ...result, status: 0, vm, path, sentAt, ms: clock.now() - sentAt }),
      });
    });
  }

  /** Sends calls to desks by way of random VMs, at random times; returns a list that they fill. */
  function sendCalls(
    perSecond: number,
    durationMs: number,
    getPath: (index: number) => string = () => '/call/1',
  ): CallResult[] {
    const results: CallResult[] = [];
    Array.from({ length: Math.round((perSecond * durationMs) / 1000) }, (_, index) =>
      clock.setTimer(random() * durationMs, async () => {
        const vm = addresses[Math.floor(random() * addresses.length)];
        results.push(await sendCall(vm, getPath(index)));
      }),
    );
    return results;
  }

  /** Ends the process of a VM and starts a new one after `downMs`. */
  function restartVm(address: string, downMs: number): void {
    processes.set(address, (processes.get(address) ?? 0) + 1);
    vms.set(address, createVm(address, addresses.indexOf(address)));
    restartListeners.forEach((listener) => listener(address));
    clock.setTimer(downMs, () => vms.get(address)!.start());
  }

  /** Sends one stream request for a random resident adapter to each VM, at random times. */
  function sendRequests(perSecond: number, durationMs: number): void {
    const count = Math.round((vms.size * perSecond * durationMs) / 1000);
    Array.from({ length: count }, (_, index) =>
      clock.setTimer(random() * durationMs, () => {
        const engine = engines[Math.floor(random() * engines.length)];
        const { adapters } = engine.models[0];
        const { name } = adapters[Math.floor(random() * adapters.length)];
        const vm = vms.get(addresses[Math.floor(random() * addresses.length)])!;
        vm.handle(createRequest(index, name), responseWriter);
      }),
    );
  }

  /** Queues a message on the sender's link, whose bandwidth delays it. */
  function send(from: string, to: string, message: Message): boolean {
    const frame =
      lastFrame?.message === message ? lastFrame.frame : compressFrame(encodeFrame(message));
    lastFrame = { message, frame };
    sentBytes.set(from, (sentBytes.get(from) ?? 0) + frame.length);
    const startAt = Math.max(clock.now(), linkFreeAt.get(from) ?? 0);
    const departAt = startAt + frame.length / (options.linkBytesPerMs ?? Infinity);
    linkFreeAt.set(from, departAt);
    if (!lostLinks.has(`${from}>${to}`)) {
      setTimerOfVm(to, departAt - clock.now() + LINK_DELAY_MS, () => {
        const received = Message.safeParse(readFrame(frame));
        if (received.success) {
          vms.get(to)?.receive(from, received.data);
        } else {
          refusedMessages.push(`${from}: ${received.error.message}`);
        }
      });
    }
    return true;
  }

  function expireLeases(): void {
    store.expire(clock.now());
    clock.setTimer(LEASE_CHECK_MS, expireLeases);
  }

  function put(key: string, value: unknown): void {
    store.write({ puts: [{ key, value: JSON.stringify(value), lease: 0 }], removes: [] });
  }

  function remove(id: string): void {
    store.write({ puts: [], removes: [`${UPSTREAM_PREFIX}${id}`] });
  }

  /** Puts a manifest; `organisations` gives the name of an organisation for each key. */
  function setManifest(version: number, organisations?: Record<string, string>): void {
    const adapterSlots = options.modelEngines?.adapterSlots;
    put(MANIFEST_KEY, { version, adapterSlots, organisations });
  }

  /** Returns how long after `since` a manifest version came into force, by VM. */
  function getDelays(version: number, since: number): Map<string, number> {
    return new Map(
      addresses.map((address) => {
        const applied = events.find(
          ({ vm, name, fields }) =>
            vm === address && name === 'manifestApplied' && (fields.manifest as number) >= version,
        );
        return [address, applied ? applied.at - since : Infinity];
      }),
    );
  }

  /** Starts VMs, all by default, and waits until they know each other. */
  async function start(started: readonly string[] = addresses): Promise<void> {
    setManifest(1);
    [...engines, ...(modelEngines?.upstreams ?? [])].forEach((engine) =>
      put(`${UPSTREAM_PREFIX}${engine.id}`, engine),
    );
    desks.registerAll();
    started.forEach((address) => vms.get(address)!.start());
    expireLeases();
    await clock.advance(6000);
  }

  return {
    clock,
    addresses,
    vms,
    events,
    refusedMessages,
    start,
    setManifest,
    getDelays,
    sendRequests,
    setFault: (address: string, fault: KeyValueFault) => faults.set(address, fault),
    /** Makes the link between two VMs lose every message in one direction. */
    setLost: (from: string, to: string, isLost: boolean) =>
      isLost ? lostLinks.add(`${from}>${to}`) : lostLinks.delete(`${from}>${to}`),
    partitions,
    desks,
    modelEngines,
    random,
    sendStreamRequest,
    sendCall,
    sendCalls,
    writtenKeys,
    sentRequests,
    restartVm,
    /** Holds up the timers of a VM and the messages to it. */
    pauseVm: (vm: string, forMs: number) => pausedUntil.set(vm, clock.now() + forMs),
    /** Calls `listener` whenever a VM is killed; returns a function that ends that. */
    onRestart: (listener: (vm: string) => void) => {
      restartListeners.add(listener);
      return () => restartListeners.delete(listener);
    },
    getSentBytes: (address: string) => sentBytes.get(address) ?? 0,
  };
}

function decodeChange({ key, value }: Change): DecodedChange {
  if (key === MANIFEST_KEY && value !== undefined) {
    const { version, adapterSlots, organisations } = JSON.parse(value) as {
      version: number;
      adapterSlots?: number;
      organisations?: Record<string, string>;
    };
    const manifest = createManifest(version, adapterSlots);
    const entries = Object.entries(organisations ?? {}).map(
      ([apiKey, name]): [string, Organisation] => [
        apiKey,
        { name, urgency: 0, allowance: undefined },
      ],
    );
    return {
      kind: 'manifest',
      manifest: { ...manifest, organisations: organisations && new Map(entries) },
    };
  }
  if (key.startsWith(UPSTREAM_PREFIX)) {
    const upstream = value === undefined ? undefined : (JSON.parse(value) as Upstream);
    return { kind: 'upstream', id: key.slice(UPSTREAM_PREFIX.length), upstream };
  }
  return { kind: 'other' };
}

function readFrame(frame: Buffer): unknown {
  let value: unknown;
  createFrameReader(MAX_FRAME_BYTES, (payload, isCompressed) => {
    value = decode(isCompressed ? inflateRawSync(payload) : payload);
  })(frame);
  return value;
}

const responseWriter = {
  writeHead: () => {},
  write: () => true,
  end: () => {},
  abort: () => {},
  onDrain: () => {},
};
