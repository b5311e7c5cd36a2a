/** Returns the name of the pool of all engines that serve a base model. */
export default function getPoolName(baseModel: string): string {
  return baseModel.replaceAll('/', '_');
}
