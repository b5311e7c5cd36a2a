/** Complete response of a plain service, stored so that a repeated call gets the same one. */
interface ServiceResponse {
  status: number;
  contentType: string;
  body: string;
}

export default ServiceResponse;
