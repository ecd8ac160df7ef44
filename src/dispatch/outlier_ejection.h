// Outlier ejection: a worker that cannot be reached or does not respond gets no jobs for a while that doubles
// until it answers; a zone in which connections fail consecutively gets none for about a second.
#ifndef ALDERSILL_SRC_DISPATCH_OUTLIER_EJECTION_H_
#define ALDERSILL_SRC_DISPATCH_OUTLIER_EJECTION_H_

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/worker.h"

namespace aldersill::dispatch {

class OutlierEjection {
 public:
  OutlierEjection(Context& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  bool IsEjected(const Worker& worker) const {
    return worker.ejected_until > context_.now() || fleet_.ZoneOf(worker).ejected_until > context_.now();
  }
  void Eject(Worker* worker);
  void RecordConnectFailure(Worker* worker);
  // Ends the ejection of the worker and its zone.
  void RecordAnswer(Worker* worker);

 private:
  Context& context_;
  Fleet& fleet_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_OUTLIER_EJECTION_H_
