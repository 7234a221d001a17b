// The platform as its callers see it: table, objects, instance list, faults.
#pragma once

#include "faults.h"
#include "instance-list.h"
#include "rate-meter.h"
#include "rows.h"
#include "standin/common/history.h"
#include "standin/common/http-server.h"

#include <QObject>

#include <map>

namespace heathercross::standin {

/// How a platform is set up.
struct PlatformOptions {
  quint16 Port_ = 0;
  int LagMs_ = 0;
  unsigned Seed_ = 1;
  std::string History_;
};

/// Serves the platform's interface on one port.
class Platform : public QObject {
public:
  explicit Platform(const PlatformOptions &Options);

  /// Returns false when the port or the history can't be had.
  bool start();
  quint16 port() const { return Server_.port(); }

private:
  void handle(const HttpRequest &Request, const Responder &Answer);
  HttpResponse serve(const HttpRequest &Request);
  HttpResponse transact(const HttpRequest &Request);
  HttpResponse read(const HttpRequest &Request);
  HttpResponse changes(const HttpRequest &Request);
  HttpResponse rowsResponse(const QJsonArray &Found, bool More,
                            int Status = 200) const;
  HttpResponse object(const HttpRequest &Request);
  HttpResponse changeInstance(const HttpRequest &Request);
  HttpResponse setFault(const HttpRequest &Request);
  HttpResponse stats() const;
  void record(const HttpRequest &Request,
              const platform_api::StoreTransaction &T);
  /// Registers a worker as the published protocol has it.
  void listWorker(const QJsonObject &Instance);

  PlatformOptions Options_;
  HistoryFile History_;
  Rows Rows_;
  Faults Faults_;
  InstanceList Instances_;
  std::map<QByteArray, QByteArray> Objects_;
  RateMeter Reads_;
  RateMeter Writes_;
  /// Bytes of paths and bodies that came and went, without headers.
  std::int64_t BytesIn_ = 0;
  std::int64_t BytesOut_ = 0;
  HttpServer Server_;
};

} // namespace heathercross::standin
