/** Returns the name under which an adapter (or a model without one) is known on all VMs. */
export default function getAdapterKey(model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}
