/** A base model that engines of a service serve, with what it takes to place it. */
interface BaseModel {
  name: string;
  sizeMb: number;
  loadMs: number;
  adapterSizeMb: number;
}

export default BaseModel;
