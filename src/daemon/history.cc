// An event log for tests that verify a run: one JSON object per line.
#include "daemon/history.h"

#include <QJsonDocument>

#include <chrono>

namespace heathercross::daemon {

History::History(const std::string &File, std::string Process)
    : Process_(std::move(Process)) {
  if (File.empty())
    return;
  Out_.open(File, std::ios::app);
  if (!Out_)
    raise(HistoryUnavailable(File));
}

void History::write(const char *Kind, const std::string &Id,
                    QJsonObject Fields) {
  if (!enabled())
    return;
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto Us =
      std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch);
  Fields["t"] = static_cast<qint64>(Us.count());
  Fields["p"] = QString::fromStdString(Process_);
  Fields["k"] = Kind;
  Fields["id"] = QString::fromStdString(Id);
  const QByteArray Line =
      QJsonDocument(Fields).toJson(QJsonDocument::Compact) + "\n";
  Out_.write(Line.constData(), Line.size());
  Out_.flush();
}

} // namespace heathercross::daemon
