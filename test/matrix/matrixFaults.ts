interface MatrixFault {
  name: string;
  inject: string[];
  /** Lines that remove the fault, run after the step and a further wait of `duration`. */
  heal: string[];
  duration: string;
}

/** The faults of the matrix, as commands of the scenario language. */
const matrixFaults: MatrixFault[] = [
  createFault('owner killed', ['kill O']),
  createFault('entry VM killed', ['kill B']),
  createFault('owner frozen beyond its lease', ['freeze O'], ['thaw O'], '7s'),
  createFault('entry VM frozen beyond its lease', ['freeze B'], ['thaw B'], '7s'),
  createFault('cut between owner and entry VM', ['cut O B'], ['heal O B'], '6s'),
  createFault('cut from owner to entry VM', ['cut O -> B'], ['heal O -> B'], '6s'),
  createFault('silent links', ['silence O B']),
  createFault('owner cut off from the platform', ['cut O platform'], ['heal O platform'], '6s'),
  createFault(
    'entry VM cut off from all',
    ['cut B platform', 'cut B O', 'cut B C'],
    ['heal B platform', 'heal B O', 'heal B C'],
    '8s',
  ),
  createFault('platform down', ['platform down'], ['platform up'], '9s'),
  createFault('platform slow', ['platform slow 800ms'], ['platform slow 0'], '6s'),
  createFault('answer lost after the write', ['platform lose 1']),
  createFault('lease of the owner lapsed', ['lapse O']),
  createFault('lease of the entry VM lapsed', ['lapse B']),
  createFault('watches silent', ['platform watch silent'], ['platform watch normal'], '6s'),
  createFault('engines restart empty', ['engine e1 restart', 'engine e2 restart']),
  createFault('load fails', ['engine e1 fail 1', 'engine e2 fail 1']),
  createFault('loads slow', ['engine e1 slow 1500', 'engine e2 slow 1500'], ['engine e1 slow 250']),
  createFault('engine frozen', ['engine e1 freeze'], ['engine e1 thaw'], '4s'),
  createFault('stream silent', ['engine e1 mute 3', 'engine e2 mute 3']),
  createFault('chunks out of order', ['engine e1 reorder', 'engine e2 reorder']),
  createFault('chunk of another request', ['engine e1 foreign', 'engine e2 foreign']),
  createFault('answer of the service lost', ['service lose 1']),
  createFault('service down', ['service down'], ['service up'], '3s'),
  createFault('list of VMs lags', ['list lag 5s'], ['list lag 0'], '8s'),
];

function createFault(
  name: string,
  inject: string[],
  heal: string[] = [],
  duration = '3s',
): MatrixFault {
  return { name, inject, heal, duration };
}

export default matrixFaults;
