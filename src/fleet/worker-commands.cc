// Derives the commands to workers from their rows and their last status.
#include "fleet/worker-commands.h"

namespace heathercross::fleet {

namespace {

WorkerCommand makeCommand(const Member &M, CommandKind Kind) {
  return {M.id(), M.row().Address_, Kind, {}, {}};
}

WorkerCommand makeCheckpointCommand(const Member &M) {
  auto Command = makeCommand(M, CommandKind::CheckpointTasks);
  Command.Tasks_ = M.Status_->Tasks_;
  return Command;
}

std::optional<WorkerCommand> commandWhileDraining(const Member &M,
                                                  bool LimitReached) {
  if (!M.Status_->Draining_)
    return makeCommand(M, CommandKind::Drain);
  if (LimitReached && !M.Status_->Tasks_.empty())
    return makeCheckpointCommand(M);
  return std::nullopt;
}

std::optional<WorkerCommand> commandWhileRebooting(const Member &M) {
  // Another boot id means that the worker has already rebooted.
  if (M.Status_->Boot_ != M.row().Boot_)
    return std::nullopt;
  if (!M.Status_->Draining_ || !idle(*M.Status_))
    return commandWhileDraining(M, true);
  auto Command = makeCommand(M, CommandKind::Reboot);
  Command.Boot_ = M.row().Boot_;
  return Command;
}

std::optional<WorkerCommand> chooseCommand(const Member &M, bool LimitReached) {
  switch (M.row().State_) {
  case InstanceState::Active:
    if (M.Status_->Draining_ && M.Availability_ != Availability::Leaving)
      return makeCommand(M, CommandKind::Undrain);
    return std::nullopt;
  case InstanceState::Draining:
    return commandWhileDraining(M, LimitReached);
  case InstanceState::Rebooting:
    return commandWhileRebooting(M);
  case InstanceState::Leaving:
    return commandWhileDraining(M, true);
  case InstanceState::Ejected:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::vector<WorkerCommand>
WorkerCommands::dueCommands(const PoolSnapshot &Pool,
                            const DrainTracker &Drains, Micros DrainLimit,
                            Instant Now) {
  std::vector<WorkerCommand> Result;
  for (const Member &M : Pool.Members_) {
    if (!M.responds())
      continue;
    const bool LimitReached = Drains.drainingFor(M.id(), Now) >= DrainLimit;
    const auto Command = chooseCommand(M, LimitReached);
    if (Command && shouldSend(*Command, Now))
      Result.push_back(*Command);
  }
  return Result;
}

bool WorkerCommands::shouldSend(const WorkerCommand &Command, Instant Now) {
  const auto Found = LastSent_.find(Command.Instance_);
  if (Found != LastSent_.end() && Found->second.first == Command.Kind_ &&
      Now - Found->second.second < CommandRetryInterval)
    return false;
  LastSent_[Command.Instance_] = {Command.Kind_, Now};
  return true;
}

void WorkerCommands::keepOnly(
    const std::map<InstanceId, InstanceRecord> &Instances) {
  std::erase_if(LastSent_, [&](const auto &Entry) {
    return !Instances.contains(Entry.first);
  });
}

} // namespace heathercross::fleet
