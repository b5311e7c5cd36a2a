/** A base model that the engines of a service serve, with its sizes and load time for placement. */
interface BaseModel {
  name: string;
  sizeMb: number;
  loadMs: number;
  adapterSizeMb: number;
}

export default BaseModel;
