// Looks up the settings and counters of a job's class by its name.
#ifndef ALDERSILL_SRC_CORE_JOB_CLASSES_H_
#define ALDERSILL_SRC_CORE_JOB_CLASSES_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"
#include "core/counters.h"
#include "core/micros.h"

namespace aldersill {

class JobClasses {
 public:
  struct JobClass {
    dispatch::ClassSettings settings;
    std::size_t counter = 0;  // index into Counters::classes
  };

  // Replaces the classes and adds counters for new names. Counters of classes that are no longer configured
  // are kept.
  void Load(const std::vector<dispatch::ClassSettings>& classes, std::vector<ClassCounters>* counters);

  // Returns null for an unknown name. The pointer is valid until the next Load().
  const JobClass* Find(const std::string& name) const;
  // Returns 0 if there are no classes.
  Micros LongestDeadline() const;

 private:
  std::unordered_map<std::string, JobClass> classes_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_JOB_CLASSES_H_
