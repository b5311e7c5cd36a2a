/** Returns the key that identifies an adapter, or a model without one, on all VMs. */
export default function getAdapterKey(model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}
