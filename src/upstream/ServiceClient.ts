import type Result from '../shared/Result';
import type ServiceResponse from './ServiceResponse';
import type ServiceError from './ServiceError';

/** Plain services beside the engines. */
interface ServiceClient {
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
  ): Promise<Result<ServiceResponse, ServiceError>>;
}

export default ServiceClient;
