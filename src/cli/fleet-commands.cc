// Commands that list pools, availability budgets, quotas and instances.
#include "cli/command.h"

namespace heathercross::cli {

namespace {

ExitCode listPools(Session &S, const Arguments &) {
  S.printRows("pools", arrayField(S.get("/v1/pools"), "pools"),
              {"name", "size", "spare", "may_overflow"});
  return ExitCode::Done;
}

ExitCode listBudgets(Session &S, const Arguments &) {
  S.printRows("budgets", arrayField(S.get("/v1/view"), "budgets"),
              {"pool", "min_available"});
  return ExitCode::Done;
}

ExitCode listQuotas(Session &S, const Arguments &) {
  S.printRows("quotas", arrayField(S.get("/v1/view"), "quotas"),
              {"team", "weight", "max_jobs"});
  return ExitCode::Done;
}

ExitCode listInstances(Session &S, const Arguments &) {
  S.printRows("instances", arrayField(S.get("/v1/instances"), "instances"),
              {"id", "pool", "state", "zone", "rack", "address"});
  return ExitCode::Done;
}

} // namespace

CommandList fleetCommands() {
  return {
      {"pool",
       "list",
       "",
       0,
       0,
       "Lists the pools.",
       "heathercross pool list",
       {},
       listPools},
      {"budget",
       "list",
       "",
       0,
       0,
       "Lists the availability budgets.",
       "heathercross budget list",
       {},
       listBudgets},
      {"quota",
       "list",
       "",
       0,
       0,
       "Lists the quotas of the teams.",
       "heathercross quota list --json",
       {},
       listQuotas},
      {"instance",
       "list",
       "",
       0,
       0,
       "Lists the instances with their pools and states.",
       "heathercross instance list",
       {},
       listInstances},
  };
}

} // namespace heathercross::cli
