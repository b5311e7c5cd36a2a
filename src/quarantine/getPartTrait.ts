/** Returns the trait of all requests whose prompt has a part. */
export default function getPartTrait(part: string): string {
  return `part:${part}`;
}
