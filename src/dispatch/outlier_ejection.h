// Outlier ejection. A worker that cannot be reached or does not respond gets no jobs for a time that doubles
// with each ejection until the worker answers. A zone in which three consecutive connections fail gets no
// jobs for about a second.
#ifndef ALDERSILL_SRC_DISPATCH_OUTLIER_EJECTION_H_
#define ALDERSILL_SRC_DISPATCH_OUTLIER_EJECTION_H_

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/worker.h"

namespace aldersill::dispatch {

class OutlierEjection {
 public:
  OutlierEjection(Context& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  // Whether the worker or its zone is ejected.
  bool IsEjected(const Worker& worker) const {
    return worker.ejected_until > context_.now() || fleet_.ZoneOf(worker).ejected_until > context_.now();
  }
  // Ejects the worker for a time with jitter around a backoff from 0.5 s to 8 s.
  void Eject(Worker* worker);
  // Ejects the worker, and its zone if too many consecutive connections to it have failed.
  void RecordConnectFailure(Worker* worker);
  // Records that the worker has answered, which ends the ejection of the worker and its zone.
  void RecordAnswer(Worker* worker);

 private:
  Context& context_;
  Fleet& fleet_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_OUTLIER_EJECTION_H_
