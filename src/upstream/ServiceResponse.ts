/** The answer of a plain service, kept whole so that a repeat can be given the same. */
interface ServiceResponse {
  status: number;
  contentType: string;
  body: string;
}

export default ServiceResponse;
