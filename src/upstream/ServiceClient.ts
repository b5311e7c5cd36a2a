import type Result from '../shared/Result';
import type ServiceResponse from './ServiceResponse';
import type ServiceError from './ServiceError';

/** Client of plain HTTP services, which are not model engines. */
interface ServiceClient {
  call(
    address: string,
    request: {
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
