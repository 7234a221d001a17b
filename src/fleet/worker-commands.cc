// Decides what the workers are told, by their rows and their last status.
#include "fleet/worker-commands.h"

namespace heathercross::fleet {

namespace {

WorkerCommand commandFor(const Member &M, CommandKind Kind) {
  return {M.id(), M.row().Address_, Kind, {}, {}};
}

WorkerCommand checkpoint(const Member &M) {
  auto Command = commandFor(M, CommandKind::CheckpointTasks);
  Command.Tasks_ = M.Status_->Tasks_;
  return Command;
}

std::optional<WorkerCommand> whileDraining(const Member &M, bool LimitReached) {
  if (!M.Status_->Draining_)
    return commandFor(M, CommandKind::Drain);
  if (LimitReached && !M.Status_->Tasks_.empty())
    return checkpoint(M);
  return std::nullopt;
}

std::optional<WorkerCommand> whileRebooting(const Member &M) {
  if (M.Status_->Boot_ != M.row().Boot_)
    return std::nullopt;
  if (!M.Status_->Draining_ || !idle(*M.Status_))
    return whileDraining(M, true);
  auto Command = commandFor(M, CommandKind::Reboot);
  Command.Boot_ = M.row().Boot_;
  return Command;
}

std::optional<WorkerCommand> commandOf(const Member &M, bool LimitReached) {
  switch (M.row().State_) {
  case InstanceState::Active:
    if (M.Status_->Draining_ && M.Standing_ != Standing::Leaving)
      return commandFor(M, CommandKind::Undrain);
    return std::nullopt;
  case InstanceState::Draining:
    return whileDraining(M, LimitReached);
  case InstanceState::Rebooting:
    return whileRebooting(M);
  case InstanceState::Leaving:
    return whileDraining(M, true);
  case InstanceState::Ejected:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::vector<WorkerCommand> WorkerCommands::due(const PoolPicture &Picture,
                                               const DrainWatch &Drains,
                                               Micros DrainLimit, Instant Now) {
  std::vector<WorkerCommand> Result;
  for (const Member &M : Picture.Members_) {
    if (!M.answers())
      continue;
    const bool LimitReached = Drains.drainingFor(M.id(), Now) >= DrainLimit;
    const auto Command = commandOf(M, LimitReached);
    if (Command && admit(*Command, Now))
      Result.push_back(*Command);
  }
  return Result;
}

bool WorkerCommands::admit(const WorkerCommand &Command, Instant Now) {
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
