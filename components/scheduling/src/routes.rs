//! Which queue a request belongs to.

use std::rc::Rc;

use crate::request::QueueRules;

/// A queue and the requests that belong to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the host that the request is sent to, in lower case.
    pub virtual_host: String,
    /// Beginning of the path.
    pub path_prefix: String,
    /// Rules of the queue.
    pub queue: Rc<QueueRules>,
}

/// All queues.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    routes: Vec<Route>,
}

impl RouteTable {
    /// Creates a table; among prefixes that fit, the longest counts.
    #[must_use]
    pub fn new(mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        Self { routes }
    }

    /// Returns the queue of a request and the rest of the path.
    #[must_use]
    pub fn find<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a Route, &'p str)> {
        let host = host.split(':').next().unwrap_or_default();
        self.routes.iter().find_map(|route| {
            let rest = path.strip_prefix(route.path_prefix.as_str())?;
            let is_here = route.virtual_host.eq_ignore_ascii_case(host);
            is_here.then_some((route, rest))
        })
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Tells whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
