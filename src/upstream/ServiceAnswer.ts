/** The answer of a plain service, kept whole so that a repeat can be given the same. */
interface ServiceAnswer {
  status: number;
  contentType: string;
  body: string;
}

export default ServiceAnswer;
