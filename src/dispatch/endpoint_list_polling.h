// Keeps the subscription to the endpoint list: requests the list with exponential backoff until one arrives,
// and again after a failure.
#ifndef ALDERSILL_SRC_DISPATCH_ENDPOINT_LIST_POLLING_H_
#define ALDERSILL_SRC_DISPATCH_ENDPOINT_LIST_POLLING_H_

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/context.h"

namespace aldersill::dispatch {

class EndpointListPolling {
 public:
  explicit EndpointListPolling(Context& context) : context_(context) {}

  // To be called at the first event; starts polling where the settings require a subscription.
  void Begin();
  // The poll timer has fired.
  void Poll();
  void RecordList(WorkerList::Form form);

 private:
  void RecordFailure();

  Context& context_;
  bool subscribed_ = false;
  Micros backoff_ = 0;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_ENDPOINT_LIST_POLLING_H_
