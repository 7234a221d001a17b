// standin-bench: measures heathercross with real processes on loopback.
#include "capacity.h"
#include "policy.h"
#include "speed.h"
#include "starts.h"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(deployment, "chipledger", "policy: chipledger or tallinn");
DEFINE_string(policy, "combined",
              "policy: static-buffer, threshold-moves, overflow, hysteresis, "
              "combined, random, least-loaded or shared-slots");
DEFINE_uint64(seed, 1, "policy: seed of the load");
DEFINE_int32(seconds, 0, "length of a run; 0 for the usual one");
DEFINE_bool(rack_loss, false, "policy: a rack dies at the middle of the run");
DEFINE_bool(frozen_entry, false,
            "policy: one entry is frozen after a third of the run");
DEFINE_bool(new_entry, false,
            "policy: one entry only starts at the middle of the run");
DEFINE_double(declared_spread, 4,
              "policy: declared run times are off by up to this factor");
DEFINE_int32(workers, 400, "starts: model workers");
DEFINE_int32(jobs_per_s, 250, "starts: jobs of 8 tasks that are submitted");
DEFINE_int32(state_poll_ms, 500,
             "starts: time between two requests for a job's state");

namespace {

using namespace heathercross::bench;

constexpr int PolicySeconds = 30;
constexpr int SpeedSeconds = 5;
constexpr int CapacitySeconds = 10;
constexpr int StartsSeconds = 10;
constexpr int UsageError = 2;

int secondsOrDefault(int DefaultSeconds) {
  return FLAGS_seconds > 0 ? FLAGS_seconds : DefaultSeconds;
}

int runPolicyFromFlags() {
  const auto D = findDeployment(FLAGS_deployment);
  const auto P = findPolicy(FLAGS_policy);
  if (!D || !P) {
    std::cerr << "standin-bench: unknown --deployment or --policy\n";
    return UsageError;
  }
  PolicyRun Run{*D, *P};
  Run.Seed_ = FLAGS_seed;
  Run.Seconds_ = secondsOrDefault(PolicySeconds);
  Run.RackLoss_ = FLAGS_rack_loss;
  Run.FrozenEntry_ = FLAGS_frozen_entry;
  Run.NewEntry_ = FLAGS_new_entry;
  Run.DeclaredSpread_ = FLAGS_declared_spread;
  return runPolicy(Run) ? 0 : 1;
}

int run(const std::string &Benchmark) {
  if (Benchmark == "policy")
    return runPolicyFromFlags();
  if (Benchmark == "speed")
    return runSpeed(secondsOrDefault(SpeedSeconds)) ? 0 : 1;
  if (Benchmark == "capacity")
    return runCapacity(secondsOrDefault(CapacitySeconds)) ? 0 : 1;
  if (Benchmark == "starts") {
    StartLoad Load;
    Load.Workers_ = FLAGS_workers;
    Load.JobsPerSecond_ = FLAGS_jobs_per_s;
    Load.StatePollMs_ = FLAGS_state_poll_ms;
    Load.Seconds_ = secondsOrDefault(StartsSeconds);
    return runStarts(Load) ? 0 : 1;
  }
  std::cerr << "usage: standin-bench policy|speed|capacity|starts [--flags]\n";
  return UsageError;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  QCoreApplication Application(Argc, Argv);
  const int Code = run(Argc > 1 ? Argv[1] : "");
  if (Code == 1)
    std::cerr << "standin-bench: some processes didn't come up\n";
  return Code;
}
