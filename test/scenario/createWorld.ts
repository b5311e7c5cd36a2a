import { createHash } from 'node:crypto';
import createEntry from '../../src/entry/createEntry';
import type VirtualMachine from '../../src/vmList/VirtualMachine';
import type EngineClient from '../../src/upstream/EngineClient';
import createFakeEngine from './createFakeEngine';
import createFakeLinks from './createFakeLinks';
import createFakePlatform from './createFakePlatform';
import createFakeServices from './createFakeServices';
import type Gate from './Gate';
import createVirtualTime from './createVirtualTime';

const OPERATOR_TOKEN = 'operator-token-1';
const CALLER_KEY = 'caller-key-1';
const TEAM = 'atelier';

interface Vm {
  entry: ReturnType<typeof createEntry>;
  isDead: boolean;
  isFrozen: boolean;
  freezeAtUnload: boolean;
  backlog: (() => void)[];
  stopped: number | undefined;
}

/** What a caller got, as the caller saw it. */
interface Result {
  status: number;
  text: string;
  model: string | undefined;
  code: string | undefined;
  ran: string | undefined;
  requestId: string | undefined;
  isWhole: boolean;
  /** How often a booking's key had run when its result came. */
  keyRuns?: number;
}

/** The fields of answers that are looked at. */
interface Body {
  error?: { code: string; ran: string };
  done?: string;
  value?: Record<string, unknown>;
  revision?: number;
  everywhere?: boolean;
}

/** Entry VMs with faked surroundings in injected time. */
export default function createWorld() {
  const time = createVirtualTime();
  const platform = createFakePlatform(time);
  const services = createFakeServices(time);
  const engines = new Map<string, ReturnType<typeof createFakeEngine>>();
  const vms = new Map<string, Vm>();
  const list = new Map<string, VirtualMachine>();
  const results = new Map<string, Result | undefined>();
  const events: string[] = [];
  const loadStarts: number[] = [];
  /** Base models of engines and adapters, by name. */
  const bases = new Map<string, string>();
  const engineSlots = new Map<string, number>();
  let listLagMs = 0;
  let nonces = 0;
  const links = createFakeLinks(time, (from, to, message) => {
    const vm = vms.get(to.split(':')[0]);
    if (vm) {
      getGate(vm).pass(() => vm.entry.receive(from, message));
    }
  });

  function getGate(vm: Vm): Gate {
    return {
      pass: (callback) => {
        if (vm.isDead) {
          return;
        }
        if (vm.isFrozen) {
          vm.backlog.push(callback);
        } else {
          callback();
        }
      },
      isDead: () => vm.isDead,
    };
  }

  function getAddress(name: string): string {
    return `${name}:7080`;
  }

  function startVm(name: string): void {
    const vm: Vm = {
      isDead: false,
      isFrozen: false,
      freezeAtUnload: false,
      backlog: [],
      stopped: undefined,
    } as never;
    const gate = getGate(vm);
    const address = getAddress(name);
    const views = new Map(
      [...engines].map(([id, engine]) => [getEngineAddress(id), engine.createView(gate)]),
    );
    const engineHost: EngineClient = {
      getAdapterNames: (at) => views.get(at)!.getNames(),
      getReport: (at) => views.get(at)!.getReport(),
      load: (at, order) => views.get(at)!.load(order.name, order.fence),
      unload: async (at, order) => {
        if (vm.freezeAtUnload) {
          vm.freezeAtUnload = false;
          vm.isFrozen = true;
          // The order leaves only when the VM wakes.
          await new Promise<void>((resolve) => {
            vm.backlog.push(resolve);
          });
        }
        return views.get(at)!.unload(order.name, order.fence);
      },
      stream: (at, order, onChunk, onEnd) => views.get(at)!.stream(at, order, onChunk, onEnd),
    };
    vm.entry = createEntry(
      {
        now: time.now,
        setTimer: (delayMs, callback) => time.setTimer(delayMs, () => gate.pass(callback)),
        keyValue: platform.createKeyValue(name, gate),
        tryGetVmList: () =>
          new Promise((resolve) => {
            time.setTimer(1, () => gate.pass(() => resolve([...list.values()])));
          }),
        engines: engineHost,
        services: services.createServices(gate),
        send: (to, message) => !vm.isDead && links.send(address, to, message),
        redial: (to) => links.redial(address, to),
        setPeers: () => {},
        random: () => 0.5,
        getTimeOfDay: time.now,
        createNonce: () => {
          nonces += 1;
          return `n${nonces}`;
        },
        log: (event, fields) => {
          events.push(`${Math.round(time.now())} ${name} ${event} ${JSON.stringify(fields ?? {})}`);
        },
      },
      {
        address,
        callerAddress: `${name}:8080`,
        dataCentre: 'dc1',
        seeds: [],
        leaseSeconds: 4,
        rootToken: OPERATOR_TOKEN,
        pool: { loadsPerSecond: 3, maxLoadsInFlight: 8, loadMs: 250, stallWeight: 0.7 },
        deadlinesMs: { interactive: 8000, deferrable: 60_000 },
        serviceTimeoutMs: 10_000,
        callKeptSeconds: 3600,
        firstTokenSilenceMs: 2500,
        silenceMs: 1000,
        maxBodyBytes: 100_000,
        bodyTimeoutMs: 5000,
        handedOutMs: 2000,
        stopDeadlineMs: 60_000,
      },
    );
    vms.set(name, vm);
    changeList(name, { address, role: 'entry', state: 'live' });
    vm.entry.start();
  }

  function getEngineAddress(id: string): string {
    return `127.0.0.${10 + [...engines.keys()].indexOf(id)}:9001`;
  }

  /** Changes the list of VMs; the change shows only after its lag. */
  function changeList(name: string, machine: VirtualMachine | undefined): void {
    time.setTimer(listLagMs, () => {
      if (machine) {
        list.set(name, machine);
      } else {
        list.delete(name);
      }
    });
  }

  function addEngine(
    id: string,
    options: { slots: number; checksFencing: boolean },
    base = 'base',
  ): void {
    const onLoad = (now: number) => loadStarts.push(now);
    engines.set(id, createFakeEngine(time, { ...options, onLoad }));
    bases.set(id, base);
    engineSlots.set(id, options.slots);
  }

  function fetchAt(vmName: string, path: string, init: RequestInit): Promise<Response> {
    const vm = vms.get(vmName)!;
    return new Promise((resolve) => {
      getGate(vm).pass(() => {
        Promise.resolve(vm.entry.fetch(new Request(`http://${vmName}${path}`, init))).then(
          (response) => {
            getGate(vm).pass(() => resolve(response));
          },
        );
      });
    });
  }

  function getHeaders(secret: string, more: Record<string, string> = {}) {
    return { 'content-type': 'application/json', authorization: `Bearer ${secret}`, ...more };
  }

  /** Sends a streamed completion; its result is noted when it has ended. */
  function request(id: string, model: string, vm: string, tokens: number, deadlineMs?: number) {
    results.set(id, undefined);
    const headers = getHeaders(
      CALLER_KEY,
      deadlineMs === undefined ? {} : { 'x-deadline-ms': String(deadlineMs) },
    );
    const body = JSON.stringify({ model, stream: true, max_tokens: tokens, messages: [] });
    fetchAt(vm, '/v1/chat/completions', { method: 'POST', headers, body }).then((response) =>
      readResult(id, response, tokens),
    );
  }

  async function readResult(id: string, response: Response, tokens: number): Promise<void> {
    const raw = await response.text();
    const requestId = response.headers.get('x-request-id') ?? undefined;
    const lines = response.headers.get('content-type')?.includes('event-stream')
      ? raw
          .split('\n\n')
          .filter((line) => line.startsWith('data: {'))
          .map((line) => JSON.parse(line.slice(6)))
      : [JSON.parse(raw)];
    const error = lines.find((line) => line.error)?.error;
    const chunks = lines.filter((line) => line.choices);
    const model = chunks[0]?.model as string | undefined;
    const text = chunks.map((chunk) => chunk.choices[0].delta?.content ?? '').join('');
    const whole = Array.from({ length: tokens }, (_, index) => `${model}:${index} `).join('');
    results.set(id, {
      status: response.status,
      text,
      model,
      code: error?.code,
      ran: error?.ran,
      requestId,
      isWhole: text === whole && chunks.some((chunk) => chunk.choices[0].finish_reason),
    });
  }

  /** Sends a non-idempotent call. Its body names its key, so that the service counts by key. */
  function book(id: string, key: string, vm: string): void {
    results.set(id, undefined);
    const headers = getHeaders(CALLER_KEY, { 'idempotency-key': key });
    const init = { method: 'POST', headers, body: getBookingBody(key) };
    fetchAt(vm, '/v1/services/desk/holds', init).then(async (response) => {
      const body = (await response.json()) as Body;
      results.set(id, {
        status: response.status,
        text: JSON.stringify(body),
        model: undefined,
        code: body.error?.code,
        ran: body.error?.ran,
        requestId: response.headers.get('x-request-id') ?? undefined,
        isWhole: response.status === 200 && body.done === getBookingBody(key),
        keyRuns: services.getRuns(getBookingBody(key)),
      });
    });
  }

  function getBookingBody(key: string): string {
    return JSON.stringify({ hold: key });
  }

  async function operate(vm: string, method: string, path: string, value?: unknown, headers = {}) {
    const response = await fetchAt(vm, path, {
      method,
      headers: getHeaders(OPERATOR_TOKEN, headers),
      body: value === undefined ? undefined : JSON.stringify(value),
    });
    return { status: response.status, body: (await response.json()) as Body };
  }

  /** Edits the weight of an adapter's row; the result is noted when it has ended. */
  function edit(id: string, adapter: string, weight: number, vm: string): void {
    results.set(id, undefined);
    const path = `/v1/table/adapters/${adapter}`;
    operate(vm, 'GET', path)
      .then(({ body }) =>
        operate(vm, 'PUT', path, { ...body.value, weight }, { 'if-match': `"${body.revision}"` }),
      )
      .then(({ status, body }) =>
        results.set(id, {
          status,
          text: JSON.stringify(body),
          model: undefined,
          code: body.error?.code,
          ran: body.error?.ran,
          requestId: undefined,
          isWhole: status === 200,
        }),
      );
  }

  function getAdapterRow(name: string, versions: string[]) {
    return {
      team: TEAM,
      baseModel: bases.get(name) ?? 'base',
      versions: versions.map((version, index) => ({
        name: version,
        weight: index === 0 ? 1 : 0,
      })),
      currentVersion: versions[0],
    };
  }

  async function fillTable(adapters: Map<string, string[]>, checks: Map<string, boolean>) {
    const [vm] = vms.keys();
    const put = (path: string, value: unknown) => operate(vm, 'PUT', `/v1/table/${path}`, value);
    const key = createHash('sha256').update(CALLER_KEY).digest('hex');
    const work = (async () => {
      await put(`teams/${TEAM}`, { keys: [key] });

      for (const id of engines.keys()) {
        await put(`upstreams/${id}`, {
          kind: 'engine',
          address: getEngineAddress(id),
          dataCentre: 'dc1',
          baseModel: bases.get(id),
          slots: engineSlots.get(id),
          batchSize: 8,
          checksFencing: checks.get(id),
        });
      }
      await put('upstreams/desk1', {
        kind: 'service',
        address: '127.0.0.1:9100',
        dataCentre: 'dc1',
        service: 'desk',
      });

      for (const [name, versions] of adapters) {
        await put(`adapters/${name}`, getAdapterRow(name, versions));
      }
    })();
    await Promise.race([work, time.advance(3000)]);
    await work;
  }

  function kill(name: string): void {
    const vm = vms.get(name)!;
    vm.isDead = true;
    changeList(name, undefined);
  }

  function thaw(name: string): void {
    const vm = vms.get(name)!;
    vm.isFrozen = false;
    vm.backlog.splice(0).forEach((callback) => getGate(vm).pass(callback));
  }

  function stop(name: string): void {
    const vm = vms.get(name)!;
    changeList(name, { address: getAddress(name), role: 'entry', state: 'leaving' });
    vm.entry.stop().then((cut) => {
      vm.stopped = cut;
      vm.isDead = true;
      changeList(name, undefined);
    });
  }

  /** The most loads that began within any second. */
  function getMostLoadsInOneSecond(): number {
    const counts = loadStarts.map(
      (start) => loadStarts.filter((other) => other <= start && other > start - 1000).length,
    );
    return Math.max(0, ...counts);
  }

  return {
    bases,
    getMostLoadsInOneSecond,
    time,
    platform,
    services,
    engines,
    vms,
    changeList,
    links,
    results,
    events,
    addEngine,
    startVm,
    fillTable,
    request,
    book,
    edit,
    operate,
    kill,
    thaw,
    stop,
    getAddress,
    getEngineAddress,
    getBookingBody,
    setListLag: (lagMs: number) => {
      listLagMs = lagMs;
    },
  };
}
