import net from 'node:net';
import { expect } from 'chai';
import createEngineControl from '../../platform/createEngineControl';

const COMMAND = { kind: 'load', model: 'm', adapter: 'a', version: 1 } as const;
const CONDITION = { expectedSequence: 1, holder: 'vm', fence: 1 };

describe('createEngineControl', () => {
  // Guards against commands that arrive after another VM has taken the engine over.
  it('resets the connection of a command that it gives up', async () => {
    let endOfConnection: Promise<string> | undefined;
    const server = net.createServer((socket) => {
      socket.resume();
      endOfConnection = new Promise((resolve) => {
        socket.on('end', () => resolve('closed'));
        socket.on('error', ({ message }) => resolve(message));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const engine = { id: 'i', address: `127.0.0.1:${port}` };
    const result = await createEngineControl().sendCommand(engine, COMMAND, CONDITION, () => {});
    expect(result).to.deep.include({ ok: false });
    expect(await endOfConnection).to.equal('read ECONNRESET');
    server.close();
  });
});
