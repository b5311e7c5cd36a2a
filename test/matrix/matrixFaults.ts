interface MatrixFault {
  name: string;
  inject: string[];
  /** Lines that end the fault, after `lasts`. */
  heal: string[];
  lasts: string;
}

/** The faults of the matrix, in the language of the scenarios. */
const matrixFaults: MatrixFault[] = [
  f('owner killed', ['kill O']),
  f('entry VM killed', ['kill B']),
  f('owner frozen beyond its lease', ['freeze O'], ['thaw O'], '7s'),
  f('entry VM frozen beyond its lease', ['freeze B'], ['thaw B'], '7s'),
  f('cut between owner and entry VM', ['cut O B'], ['heal O B'], '6s'),
  f('cut from owner to entry VM', ['cut O -> B'], ['heal O -> B'], '6s'),
  f('silent links', ['silence O B']),
  f('owner cut off from the platform', ['cut O platform'], ['heal O platform'], '6s'),
  f(
    'entry VM cut off from all',
    ['cut B platform', 'cut B O', 'cut B C'],
    ['heal B platform', 'heal B O', 'heal B C'],
    '8s',
  ),
  f('platform down', ['platform down'], ['platform up'], '9s'),
  f('platform slow', ['platform slow 800ms'], ['platform slow 0'], '6s'),
  f('answer lost after the write', ['platform lose 1']),
  f('lease of the owner lapsed', ['lapse O']),
  f('lease of the entry VM lapsed', ['lapse B']),
  f('watches silent', ['platform watch silent'], ['platform watch normal'], '6s'),
  f('engines restart empty', ['engine e1 restart', 'engine e2 restart']),
  f('load fails', ['engine e1 fail 1', 'engine e2 fail 1']),
  f('loads slow', ['engine e1 slow 1500', 'engine e2 slow 1500'], ['engine e1 slow 250']),
  f('engine frozen', ['engine e1 freeze'], ['engine e1 thaw'], '4s'),
  f('stream silent', ['engine e1 mute 3', 'engine e2 mute 3']),
  f('chunks out of order', ['engine e1 reorder', 'engine e2 reorder']),
  f('chunk of another request', ['engine e1 foreign', 'engine e2 foreign']),
  f('answer of the service lost', ['service lose 1']),
  f('service down', ['service down'], ['service up'], '3s'),
  f('list of VMs lags', ['list lag 5s'], ['list lag 0'], '8s'),
];

function f(name: string, inject: string[], heal: string[] = [], lasts = '3s'): MatrixFault {
  return { name, inject, heal, lasts };
}

export default matrixFaults;
