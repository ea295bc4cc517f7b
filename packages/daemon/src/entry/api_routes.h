/// Registration of the routes of the HTTP API; see docs/http_api.md.
#pragma once

#include <atomic>

#include "../event_thread.h"
#include "config_service.h"
#include "http_server.h"
#include "job_service.h"
#include "member_service.h"
#include "owner_service.h"
#include "request_service.h"
#include "watch_service.h"

namespace ebonypin::daemon {

/// Parts of an entry that the routes use. They outlive all calls that the server handles.
struct EntryParts {
  const std::string& m_region;
  const std::string& m_domain;
  EventThread& m_events;
  HttpServer& m_http;
  LogStream& m_region_log;
  LogStream& m_config_log;
  ConfigService& m_config;
  JobService& m_jobs;
  WatchService& m_watches;
  RequestService& m_requests;
  MemberService& m_members;
  const OwnerService& m_owner;
  /// A planned stop has begun. The status call reports this to the load balancer.
  const std::atomic<bool>& m_leaving;
  const std::atomic<bool>& m_draining;  ///< New work is refused.
};

/// Adds POST /v1/requests and the routes under /v1/jobs.
void AddWorkRoutes(const EntryParts& parts);

/// Adds the routes under /v1/watches.
void AddWatchRoutes(const EntryParts& parts);

/// Adds the routes under /v1/classes, and PUT /v1/instances/{id}/drain.
void AddConfigRoutes(const EntryParts& parts);

/// Adds GET /v1/status, /v1/instances, /v1/stuck and /v1/audit.
void AddOperationRoutes(const EntryParts& parts);

}  // namespace ebonypin::daemon
