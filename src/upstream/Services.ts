import type Outcome from '../shared/Outcome';
import type ServiceAnswer from './ServiceAnswer';
import type ServiceError from './ServiceError';

/** Plain services beside the engines. */
interface Services {
  call(
    address: string,
    order: {
      id: string;
      method: string;
      path: string;
      contentType: string;
      body: string;
      timeoutMs: number;
    },
  ): Promise<Outcome<ServiceAnswer, ServiceError>>;
}

export default Services;
