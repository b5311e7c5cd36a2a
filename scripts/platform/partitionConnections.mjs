/**
 * Loaded into the processes of a trial's VMs: fails their connections to servers as the file in
 * TRIAL_PARTITION_FILE says, whose content is `open`, `hang`, `reset` or `refused`.
 */
import { readFileSync } from 'node:fs';
import net from 'node:net';

const CHECK_INTERVAL_MS = 50;
const { TRIAL_PARTITION_FILE: file, TRIAL_SERVER_PREFIX: prefix = '' } = process.env;
const sockets = new Set();
let mode = 'open';

function readMode() {
  try {
    return readFileSync(file, 'utf8').trim() || 'open';
  } catch {
    return 'open';
  }
}

function applyMode() {
  const newMode = readMode();
  if (newMode === mode) {
    return;
  }
  mode = newMode;
  sockets.forEach((socket) => {
    if (mode === 'reset') {
      socket.resetAndDestroy();
    } else if (mode === 'hang') {
      socket._handle?.readStop();
    } else if (mode === 'open') {
      socket._handle?.readStart();
    }
  });
}

const { connect } = net.Socket.prototype;
net.Socket.prototype.connect = function connectUnlessPartitioned(...values) {
  const options = Array.isArray(values[0]) ? values[0][0] : values[0];
  if (!String(options?.host ?? '').startsWith(prefix)) {
    return connect.apply(this, values);
  }
  applyMode();
  if (mode === 'hang') {
    this.connecting = true;
    return this;
  }
  if (mode !== 'open') {
    process.nextTick(() =>
      this.destroy(Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' })),
    );
    return this;
  }
  sockets.add(this);
  this.once('close', () => sockets.delete(this));
  return connect.apply(this, values);
};
setInterval(applyMode, CHECK_INTERVAL_MS).unref();
