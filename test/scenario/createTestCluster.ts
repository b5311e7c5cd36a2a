import { createHash } from 'node:crypto';
import createEntry from '../../src/entry/createEntry';
import type VirtualMachine from '../../src/vmList/VirtualMachine';
import type EngineClient from '../../src/upstream/EngineClient';
import createFakeEngine from './createFakeEngine';
import createFakeLinks from './createFakeLinks';
import createFakeKeyValueService from './createFakeKeyValueService';
import createFakeService from './createFakeService';
import type VmExecutor from './VmExecutor';
import createVirtualClock from './createVirtualClock';

const OPERATOR_TOKEN = 'operator-token-1';
const CALLER_KEY = 'caller-key-1';
const TEAM = 'atelier';

interface TestVm {
  entry: ReturnType<typeof createEntry>;
  isDead: boolean;
  isFrozen: boolean;
  freezeAtUnload: boolean;
  deferredCallbacks: (() => void)[];
  cutRequestCount: number | undefined;
}

/** Result of a request as its caller received it. Failure messages print it as JSON. */
interface RequestResult {
  status: number;
  text: string;
  model: string | undefined;
  code: string | undefined;
  ran: string | undefined;
  requestId: string | undefined;
  isWhole: boolean;
  /** Number of times the call with the booking's key had run when the result arrived. */
  keyRuns?: number;
}

/** Fields of response bodies that the scenarios read. */
interface ResponseBody {
  error?: { code: string; ran: string };
  done?: string;
  value?: Record<string, unknown>;
  revision?: number;
  everywhere?: boolean;
}

/**
 * Creates a cluster of entry VMs that run on a virtual clock against fake engines, mesh links, a fake
 * service and a fake key-value service.
 */
export default function createTestCluster() {
  const clock = createVirtualClock();
  const keyValueService = createFakeKeyValueService(clock);
  const service = createFakeService(clock);
  const engines = new Map<string, ReturnType<typeof createFakeEngine>>();
  const vms = new Map<string, TestVm>();
  const vmList = new Map<string, VirtualMachine>();
  const results = new Map<string, RequestResult | undefined>();
  const events: string[] = [];
  const loadStartTimes: number[] = [];
  /** Base models by name of the engine or adapter. */
  const baseModels = new Map<string, string>();
  const engineSlots = new Map<string, number>();
  let vmListDelayMs = 0;
  let nonceCount = 0;
  const links = createFakeLinks(clock, (from, to, message) => {
    const vm = vms.get(to.split(':')[0]);
    if (vm) {
      createExecutor(vm).run(() => vm.entry.receive(from, message));
    }
  });

  function createExecutor(vm: TestVm): VmExecutor {
    return {
      run: (callback) => {
        if (vm.isDead) {
          return;
        }
        if (vm.isFrozen) {
          vm.deferredCallbacks.push(callback);
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
    const vm: TestVm = {
      isDead: false,
      isFrozen: false,
      freezeAtUnload: false,
      deferredCallbacks: [],
      cutRequestCount: undefined,
    } as never;
    const executor = createExecutor(vm);
    const address = getAddress(name);
    const engineClients = new Map(
      [...engines].map(([id, engine]) => [
        getEngineAddress(id),
        engine.createEngineClient(executor),
      ]),
    );
    const engineClient: EngineClient = {
      getAdapterNames: (at) => engineClients.get(at)!.getAdapterNames(),
      getReport: (at) => engineClients.get(at)!.getReport(),
      load: (at, command) => engineClients.get(at)!.load(command.name, command.fence),
      unload: async (at, command) => {
        if (vm.freezeAtUnload) {
          vm.freezeAtUnload = false;
          vm.isFrozen = true;
          // Sends the command only after the VM has thawed.
          await new Promise<void>((resolve) => {
            vm.deferredCallbacks.push(resolve);
          });
        }
        return engineClients.get(at)!.unload(command.name, command.fence);
      },
      stream: (at, request, onChunk, onEnd) =>
        engineClients.get(at)!.stream(at, request, onChunk, onEnd),
    };
    vm.entry = createEntry(
      {
        now: clock.now,
        setTimer: (delayMs, callback) => clock.setTimer(delayMs, () => executor.run(callback)),
        keyValue: keyValueService.createKeyValue(name, executor),
        tryGetVmList: () =>
          new Promise((resolve) => {
            clock.setTimer(1, () => executor.run(() => resolve([...vmList.values()])));
          }),
        engines: engineClient,
        services: service.createServiceClient(executor),
        send: (to, message) => !vm.isDead && links.send(address, to, message),
        redial: (to) => links.redial(address, to),
        setPeers: () => {},
        random: () => 0.5,
        getTimeOfDay: clock.now,
        createNonce: () => {
          nonceCount += 1;
          return `n${nonceCount}`;
        },
        log: (event, fields) => {
          events.push(
            `${Math.round(clock.now())} ${name} ${event} ${JSON.stringify(fields ?? {})}`,
          );
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
    updateVmList(name, { address, role: 'entry', state: 'live' });
    vm.entry.start();
  }

  function getEngineAddress(id: string): string {
    return `127.0.0.${10 + [...engines.keys()].indexOf(id)}:9001`;
  }

  /** Sets or deletes a record of the VM list after the configured delay (step `list lag`). */
  function updateVmList(name: string, record: VirtualMachine | undefined): void {
    clock.setTimer(vmListDelayMs, () => {
      if (record) {
        vmList.set(name, record);
      } else {
        vmList.delete(name);
      }
    });
  }

  function addEngine(
    id: string,
    options: { slots: number; checksFencing: boolean },
    baseModel = 'base',
  ): void {
    const onLoad = (now: number) => loadStartTimes.push(now);
    engines.set(id, createFakeEngine(clock, { ...options, onLoad }));
    baseModels.set(id, baseModel);
    engineSlots.set(id, options.slots);
  }

  function fetchAt(vmName: string, path: string, init: RequestInit): Promise<Response> {
    const vm = vms.get(vmName)!;
    return new Promise((resolve) => {
      createExecutor(vm).run(() => {
        Promise.resolve(vm.entry.fetch(new Request(`http://${vmName}${path}`, init))).then(
          (response) => {
            createExecutor(vm).run(() => resolve(response));
          },
        );
      });
    });
  }

  function getHeaders(token: string, extraHeaders: Record<string, string> = {}) {
    return {
      'content-type': 'application/json',
      authorization: `Bearer ${token}`,
      ...extraHeaders,
    };
  }

  /** Sends a streamed completion and stores its result when the stream has ended. */
  function sendCompletion(
    id: string,
    model: string,
    vm: string,
    tokens: number,
    deadlineMs?: number,
  ) {
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
    const responseText = await response.text();
    const requestId = response.headers.get('x-request-id') ?? undefined;
    const payloads = response.headers.get('content-type')?.includes('event-stream')
      ? responseText
          .split('\n\n')
          .filter((line) => line.startsWith('data: {'))
          .map((line) => JSON.parse(line.slice(6)))
      : [JSON.parse(responseText)];
    const error = payloads.find((payload) => payload.error)?.error;
    const chunks = payloads.filter((payload) => payload.choices);
    const model = chunks[0]?.model as string | undefined;
    const text = chunks.map((chunk) => chunk.choices[0].delta?.content ?? '').join('');
    const expectedText = Array.from({ length: tokens }, (_, index) => `${model}:${index} `).join(
      '',
    );
    results.set(id, {
      status: response.status,
      text,
      model,
      code: error?.code,
      ran: error?.ran,
      requestId,
      isWhole: text === expectedText && chunks.some((chunk) => chunk.choices[0].finish_reason),
    });
  }

  /** Sends a non-idempotent call whose body holds its key, so that the service counts by key. */
  function sendBooking(id: string, key: string, vm: string): void {
    results.set(id, undefined);
    const headers = getHeaders(CALLER_KEY, { 'idempotency-key': key });
    const init = { method: 'POST', headers, body: getBookingBody(key) };
    fetchAt(vm, '/v1/services/desk/holds', init).then(async (response) => {
      const body = (await response.json()) as ResponseBody;
      results.set(id, {
        status: response.status,
        text: JSON.stringify(body),
        model: undefined,
        code: body.error?.code,
        ran: body.error?.ran,
        requestId: response.headers.get('x-request-id') ?? undefined,
        isWhole: response.status === 200 && body.done === getBookingBody(key),
        keyRuns: service.getRunCount(getBookingBody(key)),
      });
    });
  }

  function getBookingBody(key: string): string {
    return JSON.stringify({ hold: key });
  }

  async function sendOperatorRequest(
    vm: string,
    method: string,
    path: string,
    value?: unknown,
    headers = {},
  ) {
    const response = await fetchAt(vm, path, {
      method,
      headers: getHeaders(OPERATOR_TOKEN, headers),
      body: value === undefined ? undefined : JSON.stringify(value),
    });
    return { status: response.status, body: (await response.json()) as ResponseBody };
  }

  /** Edits the weight in an adapter's row and stores the result when the edit has ended. */
  function editWeight(id: string, adapter: string, weight: number, vm: string): void {
    results.set(id, undefined);
    const path = `/v1/table/adapters/${adapter}`;
    sendOperatorRequest(vm, 'GET', path)
      .then(({ body }) =>
        sendOperatorRequest(
          vm,
          'PUT',
          path,
          { ...body.value, weight },
          { 'if-match': `"${body.revision}"` },
        ),
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
      baseModel: baseModels.get(name) ?? 'base',
      versions: versions.map((version, index) => ({
        name: version,
        weight: index === 0 ? 1 : 0,
      })),
      currentVersion: versions[0],
    };
  }

  async function fillTable(adapters: Map<string, string[]>, checksFencing: Map<string, boolean>) {
    const [vm] = vms.keys();
    const put = (path: string, value: unknown) =>
      sendOperatorRequest(vm, 'PUT', `/v1/table/${path}`, value);
    const key = createHash('sha256').update(CALLER_KEY).digest('hex');
    const writes = (async () => {
      await put(`teams/${TEAM}`, { keys: [key] });

      for (const id of engines.keys()) {
        await put(`upstreams/${id}`, {
          kind: 'engine',
          address: getEngineAddress(id),
          dataCentre: 'dc1',
          baseModel: baseModels.get(id),
          slots: engineSlots.get(id),
          batchSize: 8,
          checksFencing: checksFencing.get(id),
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
    await Promise.race([writes, clock.advance(3000)]);
    await writes;
  }

  function kill(name: string): void {
    const vm = vms.get(name)!;
    vm.isDead = true;
    updateVmList(name, undefined);
  }

  function thaw(name: string): void {
    const vm = vms.get(name)!;
    vm.isFrozen = false;
    vm.deferredCallbacks.splice(0).forEach((callback) => createExecutor(vm).run(callback));
  }

  function stop(name: string): void {
    const vm = vms.get(name)!;
    updateVmList(name, { address: getAddress(name), role: 'entry', state: 'leaving' });
    vm.entry.stop().then((cutCount) => {
      vm.cutRequestCount = cutCount;
      vm.isDead = true;
      updateVmList(name, undefined);
    });
  }

  /** Returns the largest number of loads that started within any one second. */
  function getMaxLoadsPerSecond(): number {
    const counts = loadStartTimes.map(
      (start) => loadStartTimes.filter((other) => other <= start && other > start - 1000).length,
    );
    return Math.max(0, ...counts);
  }

  return {
    baseModels,
    getMaxLoadsPerSecond,
    clock,
    keyValueService,
    service,
    engines,
    vms,
    updateVmList,
    links,
    results,
    events,
    addEngine,
    startVm,
    fillTable,
    sendCompletion,
    sendBooking,
    editWeight,
    sendOperatorRequest,
    kill,
    thaw,
    stop,
    getAddress,
    getEngineAddress,
    getBookingBody,
    setVmListDelay: (delayMs: number) => {
      vmListDelayMs = delayMs;
    },
  };
}
