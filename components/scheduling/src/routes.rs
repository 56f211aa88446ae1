//! Routing of requests to queues by virtual host and path.

use std::rc::Rc;

use crate::request::QueueRules;

/// A queue and the requests that are routed to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Host name of the request without its port, in lower case.
    pub virtual_host: String,
    /// Prefix of the request path.
    pub path_prefix: String,
    /// Rules of the queue.
    pub queue: Rc<QueueRules>,
}

/// The routes of all queues.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    routes: Vec<Route>,
}

impl RouteTable {
    /// Creates a table; of several matching prefixes, the longest is used.
    #[must_use]
    pub fn new(mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        Self { routes }
    }

    /// Returns the route of a request and the path after the prefix.
    #[must_use]
    pub fn find<'a, 'p>(
        &'a self,
        host_header: &str,
        path: &'p str,
    ) -> Option<(&'a Route, &'p str)> {
        let virtual_host = host_header.split(':').next().unwrap_or_default();
        self.routes.iter().find_map(|route| {
            let rest = path.strip_prefix(route.path_prefix.as_str())?;
            let is_host_match = route.virtual_host.eq_ignore_ascii_case(virtual_host);
            is_host_match.then_some((route, rest))
        })
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
