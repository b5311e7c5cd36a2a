import { expect } from 'chai';
import net from 'node:net';
import createRelay from '../../standins/createRelay';
import type RelayMode from '../../standins/RelayMode';

const WRITE_INTERVAL_MS = 20;
const WRITES = 20;
const FAULT_AFTER_MS = 100;
const NUMBERS = Array.from({ length: WRITES }, (_, index) => index);

describe('createRelay', () => {
  it('keeps the order of bytes when it ceases to delay them', async () => {
    expect(await readThrough('slow')).to.deep.equal(NUMBERS);
  });

  it('passes on nothing that follows bytes which it has lost', async () => {
    const numbers = await readThrough('noAnswers', 'open');
    expect(numbers).to.deep.equal(NUMBERS.slice(0, numbers.length));
    expect(numbers.length).to.be.below(WRITES);
  });

  /** Reads numbers through a relay that has a fault for a while; returns those that arrived. */
  async function readThrough(fault: RelayMode, before: RelayMode = fault): Promise<number[]> {
    const server = net.createServer(async (socket) => {
      for (let index = 0; index < WRITES; index += 1) {
        socket.write(`${index} `);
        await new Promise((resolve) => {
          setTimeout(resolve, WRITE_INTERVAL_MS);
        });
      }
      socket.end();
    });
    await new Promise<void>((resolve) => {
      server.listen(9555, '127.0.0.77', resolve);
    });
    const relay = createRelay('127.0.0.78:9555', '127.0.0.77:9555');
    relay.setMode(before);
    setTimeout(() => relay.setMode(fault), FAULT_AFTER_MS);
    setTimeout(() => relay.setMode('open'), (WRITES / 2) * WRITE_INTERVAL_MS);
    const socket = net.connect(9555, '127.0.0.78');
    let text = '';
    try {
      for await (const chunk of socket) {
        text += String(chunk);
      }
    } catch {
      // A connection that has lost bytes ends with a reset.
    }
    relay.close();
    server.close();
    return text.trim().split(' ').map(Number);
  }
});
