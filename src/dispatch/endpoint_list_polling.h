// Maintains the subscription to the endpoint list: requests the list with exponential backoff until one
// arrives, and again after a failure.
#ifndef ALDERSILL_SRC_DISPATCH_ENDPOINT_LIST_POLLING_H_
#define ALDERSILL_SRC_DISPATCH_ENDPOINT_LIST_POLLING_H_

#include "aldersill/dispatch/dispatcher.h"
#include "dispatch/context.h"

namespace aldersill::dispatch {

class EndpointListPolling {
 public:
  explicit EndpointListPolling(Context& context) : context_(context) {}

  // Starts polling if the settings require a subscription. To be called at the first event.
  void Begin();
  // Requests the list unless there is a subscription. To be called when the poll timer fires.
  void Poll();
  // Records that a list, a change of it or a failure was received. A cached list does not confirm the
  // subscription.
  void RecordList(WorkerList::Form form);

 private:
  void RecordFailure();

  Context& context_;
  bool subscribed_ = false;  // whether a list has arrived since the last failure
  Micros backoff_ = 0;       // shortest delay before the list is requested again
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_ENDPOINT_LIST_POLLING_H_
