/** A VM that can carry a request, and the requests that it serves or that this VM has sent to it. */
interface Carrier {
  address: string;
  dataCentre: string;
  inFlight: number;
}

/** Cost of a VM in another data centre, as a multiple of its cost in this one. */
const DISTANCE_FACTOR = 1.25;

/**
 * Chooses the VM that carries a request: the less loaded one of two, drawn at random so that VMs which
 * choose at the same time do not choose the same.
 */
export default function chooseCarrier(
  carriers: readonly Carrier[],
  dataCentre: string,
  random: () => number,
): Carrier | undefined {
  const draw = () => carriers[Math.floor(random() * carriers.length)] as Carrier | undefined;
  const getCost = (carrier: Carrier) =>
    (carrier.inFlight + 1) * (carrier.dataCentre === dataCentre ? 1 : DISTANCE_FACTOR);
  const [first, second] = [draw(), draw()];
  return first && second && getCost(second) < getCost(first) ? second : first;
}
