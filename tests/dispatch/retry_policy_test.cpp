// Tests whether further attempts may start, what a final answer may promise, and which attempts are
// cancelled.
#include "dispatch/retry_policy.h"

#include <gtest/gtest.h>

#include "dispatch/cancellation.h"
#include "module_parts.h"

namespace aldersill::dispatch::testing {
namespace {

Attempt EndedAttempt(Micros sent, bool may_have_run) {
  return {.worker = 0, .sent = sent, .open = false, .may_have_run = may_have_run};
}

TEST(RetryPolicy, FirstAttemptMayStartUntilTheDeadline) {
  const Settings settings = BasicSettings();
  EXPECT_EQ(LatestAttemptStart(settings, {.deadline = 700}), 700);
}

TEST(RetryPolicy, UnsafeRequestThatMayHaveRunIsNeverRetried) {
  const Settings settings = BasicSettings();
  Request request{.job_class = kUnsafeClass, .deadline = 700};
  request.attempts = {EndedAttempt(100, /*may_have_run=*/false)};
  EXPECT_EQ(LatestAttemptStart(settings, request), 700);
  request.attempts = {EndedAttempt(100, /*may_have_run=*/true)};
  EXPECT_EQ(LatestAttemptStart(settings, request), 0);
}

TEST(RetryPolicy, KeyedRequestIsRetriedWithinTheWindowOfTheEarliestAttemptThatMayHaveRun) {
  Settings settings = BasicSettings();
  settings.classes[kKeyedClass].window = 300;
  Request request{.job_class = kKeyedClass, .deadline = 700};
  request.attempts = {EndedAttempt(50, false), EndedAttempt(100, true)};
  EXPECT_EQ(LatestAttemptStart(settings, request), 400);
  request.attempts.insert(request.attempts.begin(), EndedAttempt(80, true));
  settings.max_attempts = 4;
  EXPECT_EQ(LatestAttemptStart(settings, request), 380);
}

TEST(RetryPolicy, NoAttemptStartsBesideAnOpenOneUnlessHedgingIsAllowed) {
  Settings settings = BasicSettings();
  Request request{.job_class = kRepeatableClass, .deadline = 700};
  request.attempts = {Attempt{.worker = 0, .sent = 100}};
  EXPECT_EQ(LatestAttemptStart(settings, request), 700);
  settings.hedging = false;
  EXPECT_EQ(LatestAttemptStart(settings, request), 0);
}

TEST(RetryPolicy, NoAttemptStartsAfterTheLastOneAStreamOrTheEnd) {
  const Settings settings = BasicSettings();
  Request request{.job_class = kRepeatableClass, .deadline = 700};
  request.attempts.assign(settings.max_attempts, EndedAttempt(100, true));
  EXPECT_EQ(LatestAttemptStart(settings, request), 0);
  request.attempts.clear();
  request.streaming = true;
  EXPECT_EQ(LatestAttemptStart(settings, request), 0);
  request.streaming = false;
  request.ended = true;
  EXPECT_EQ(LatestAttemptStart(settings, request), 0);
}

TEST(RetryPolicy, RejectionIsSafeWhereTheRequestCannotHaveRunOrMayRunAgainAnywhere) {
  Settings settings = BasicSettings();
  Request request{.job_class = kUnsafeClass};
  EXPECT_TRUE(IsRejectionSafe(settings, request));
  request.attempts = {EndedAttempt(100, true)};
  EXPECT_FALSE(IsRejectionSafe(settings, request));
  request.job_class = kRepeatableClass;
  EXPECT_TRUE(IsRejectionSafe(settings, request));
  request.job_class = kKeyedClass;
  EXPECT_FALSE(IsRejectionSafe(settings, request));  // the scope of its key is a cell
  settings.classes[kKeyedClass].scope = KeyScope::kAll;
  EXPECT_TRUE(IsRejectionSafe(settings, request));
}

TEST(Cancellation, CancelsEachOpenAttemptOnceExceptTheOneKept) {
  ModuleParts parts;
  Request request{.id = RequestId{7}};
  request.attempts = {Attempt{}, EndedAttempt(1, true), Attempt{}, Attempt{}};
  CancelOpenAttempts(parts.context, &request, &request.attempts[2]);
  CancelOpenAttempts(parts.context, &request, nullptr);
  const auto cancels = Only<Cancel>(parts.actions);
  ASSERT_EQ(cancels.size(), 3u);
  EXPECT_EQ(cancels[0].attempt_number, 0);
  EXPECT_EQ(cancels[1].attempt_number, 3);
  EXPECT_EQ(cancels[2].attempt_number, 2);
}

TEST(Cancellation, IsLeftOutWhereTheSettingsForbidIt) {
  Settings settings = BasicSettings();
  settings.cancel = false;
  ModuleParts parts(settings);
  Request request{.id = RequestId{7}};
  request.attempts = {Attempt{}};
  CancelOpenAttempts(parts.context, &request, nullptr);
  EXPECT_TRUE(parts.actions.empty());
}

}  // namespace
}  // namespace aldersill::dispatch::testing
