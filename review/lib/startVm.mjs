import { spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';

const COMMAND = [
  '--max-old-space-size=160',
  '--interrupt-budget=400000',
  'target/baobablink.cjs',
  'serve-platform',
];

/** Starts an entry VM with the command of the deploy file; resolves with its process. */
export default async function startVm(folder, vm, settings) {
  const file = path.join(folder, `${vm.name}.toml`);
  await writeFile(file, getSettings(vm, settings));
  const child = spawn(process.execPath, COMMAND, {
    env: {
      PATH: process.env.PATH,
      BAOBABLINK_SETTINGS_FILE: file,
      BAOBABLINK_CLUSTER_KEY: 'one-key-for-all-entry-vms',
    },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  child.lines = [];
  [child.stdout, child.stderr].forEach((stream) =>
    stream.on('data', (chunk) => child.lines.push(chunk.toString())),
  );
  return child;
}

/** Returns a settings file as DEPLOY.md shows it, with the bounds of maraval-veils. */
function getSettings({ name, ip, zone, store }, { seeds }) {
  return `Node = "${name}"
Role = "entry"
Class = "front"
Serves = ["front","control","directory"]
Ip = "${ip}"
Zone = "${zone}"
Region = "tt-north"
PortRange = [7380,7395]
Seeds = [${seeds.map((seed) => `"${seed}:8144"`).join(',')}]
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[Zones]
maraval = "tt-north"
st-james = "tt-north"
diego-martin = "tt-north"
[Listen]
Front = "${ip}:8149"
Ready = "${ip}:8141"
Control = "${ip}:8144"
Directory = "${ip}:8143"
[Limits]
CpuShare = 0.675
Cpus = 1
RamMb = 350
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
SkewMaxMs = 5000
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 56
RecoverS = 12
PassMs = 120
RetryAfterS = 0
Fencing = false
LeaseMs = 3000
ThawMs = 300
CeilingWindowS = 5
OriginExcess = 1.1
version_ms = 5000
ttl_max_s = 5
[Provider]
Addr = "${store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`;
}
